import type { AccountLedger, EntryDemand } from './serviceLedger.js';

/** An entry gives up a slot when an account waits this many times as long in the queue of another entry. */
const QUEUE_RATIO = 2;

/** Difference in queue length that is always tolerated. */
const QUEUE_TOLERANCE = 2;

/**
 * Looks for the account whose requests are queued most unevenly. Entries reuse their slots, so an account that is
 * backlogged at several entries can get all its service at some of them while its requests at the others wait.
 *
 * @param accounts backlogged accounts
 * @param canGive whether an entry holds a slot that can be recalled
 * @returns the entry that is to return a slot, or undefined when the queues are even enough
 */
export function findEntryToRecallFrom(
	accounts: Iterable<AccountLedger>,
	canGive: (instance: string) => boolean,
): string | undefined {
	let giver: string | undefined;
	let largest = QUEUE_TOLERANCE;
	for (const account of accounts) {
		const longest = longestQueue(account);
		const shortest = shortestQueue(account, canGive);
		if (shortest === undefined) {
			continue;
		}
		const excess = longest - QUEUE_RATIO * shortest.queued;
		if (excess > largest) {
			largest = excess;
			giver = shortest.instance;
		}
	}
	return giver;
}

function longestQueue(account: AccountLedger): number {
	let longest = 0;
	for (const demand of account.demand.values()) {
		longest = Math.max(longest, demand.queued - demand.granted);
	}
	return longest;
}

function shortestQueue(account: AccountLedger, canGive: (instance: string) => boolean): EntryDemand | undefined {
	let shortest: EntryDemand | undefined;
	for (const demand of account.demand.values()) {
		const shorter = shortest === undefined || demand.queued < shortest.queued;
		if (shorter && demand.running && canGive(demand.instance)) {
			shortest = demand;
		}
	}
	return shortest;
}
