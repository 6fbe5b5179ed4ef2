import type { AccountLedger, EntryDemand } from './serviceLedger.js';

/** An entry returns a slot when the account's queue at another entry is longer by more than this factor. */
const QUEUE_RATIO = 2;

/** Difference in queue length that is always tolerated, in requests. */
const QUEUE_TOLERANCE = 2;

/**
 * Finds the account whose queues are the most uneven, and the entry with its shortest queue, which is to return a slot
 * to the scheduler. Entries reuse their slots, so an account that is backlogged at several entries can get all its
 * service at some of them while its requests at the others wait.
 *
 * @param accounts backlogged accounts
 * @param canReturnSlot whether an entry holds a slot that can be recalled
 * @returns the entry that is to return a slot, or undefined when the queues are even enough
 */
export function findEntryToRecallFrom(
	accounts: Iterable<AccountLedger>,
	canReturnSlot: (instance: string) => boolean,
): string | undefined {
	let recallFrom: string | undefined;
	let largestExcess = QUEUE_TOLERANCE;
	for (const account of accounts) {
		const longest = longestQueue(account);
		const shortest = shortestQueue(account, canReturnSlot);
		if (shortest === undefined) {
			continue;
		}
		const excess = longest - QUEUE_RATIO * shortest.queued;
		if (excess > largestExcess) {
			largestExcess = excess;
			recallFrom = shortest.instance;
		}
	}
	return recallFrom;
}

function longestQueue(account: AccountLedger): number {
	let longest = 0;
	for (const demand of account.demand.values()) {
		longest = Math.max(longest, demand.queued - demand.granted);
	}
	return longest;
}

function shortestQueue(account: AccountLedger, canReturnSlot: (instance: string) => boolean): EntryDemand | undefined {
	let shortest: EntryDemand | undefined;
	for (const demand of account.demand.values()) {
		const isShorter = shortest === undefined || demand.queued < shortest.queued;
		if (isShorter && demand.running && canReturnSlot(demand.instance)) {
			shortest = demand;
		}
	}
	return shortest;
}
