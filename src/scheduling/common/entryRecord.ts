import { AccountNumbers } from './accountNumbers.js';
import type { EntryDemand, ServiceLedger } from './serviceLedger.js';
import { createEntryLeases, type SlotLeases } from './slotLeases.js';
import type { EntrySyncState } from './updateWriter.js';

/** A granted slot whose arrival no report has acknowledged yet. */
export interface PendingGrant {
	/** Sequence number of the update that carries it. */
	readonly sequence: number;
	readonly demand: EntryDemand;
	readonly backend: number;
	/** Normalised start charge, counted until the acknowledgement. */
	readonly charge: number;
}

/** State that a scheduler keeps of one process of an entry. */
export interface EntryRecord extends EntrySyncState {
	readonly instance: string;
	readonly incarnation: string;
	grants: PendingGrant[];
	/** Unacknowledged updates up to this sequence number were sent on a stream that has ended, so they never arrive. */
	lostSequence: number;
	/** Whether a complete report was received; incremental reports cannot be applied before that. */
	synchronised: boolean;
}

/**
 * @param instance name of the entry
 * @param incarnation identifier of its process
 * @returns record of an entry that has not sent a report
 */
export function createEntryRecord(instance: string, incarnation: string): EntryRecord {
	return {
		...createEntryLeases(),
		numbers: AccountNumbers.create(),
		instance,
		incarnation,
		sequence: 0,
		lostSequence: 0,
		demand: new Map(),
		grants: [],
		nextGrants: new Map(),
		sentFloor: 0,
		sentSlack: undefined,
		sentQuantum: undefined,
		reportRequested: false,
		synchronised: false,
		dirty: true,
	};
}

/**
 * Settles the grants that an entry has received and counts their slots as held.
 *
 * @param entry record of the entry
 * @param sequence sequence number of the last update that arrived
 * @param ledger ledger in which the grants are charged
 * @param leases leases in which the slots are counted
 */
export function acknowledge(entry: EntryRecord, sequence: number, ledger: ServiceLedger, leases: SlotLeases): void {
	for (const grant of entry.grants) {
		if (grant.sequence <= sequence) {
			ledger.settleGrant(grant.demand, grant.charge);
			leases.confirm(entry, grant.backend);
		}
	}
	entry.grants = entry.grants.filter((grant) => grant.sequence > sequence);
}

/**
 * Cancels grants that never arrive at the entry.
 *
 * @param entry record of the entry
 * @param isCancelled whether a grant is cancelled
 * @param ledger ledger in which the grants are charged
 * @param leases leases in which the slots are counted
 */
export function cancelGrants(
	entry: EntryRecord,
	isCancelled: (grant: PendingGrant) => boolean,
	ledger: ServiceLedger,
	leases: SlotLeases,
): void {
	for (const grant of entry.grants.filter(isCancelled)) {
		ledger.settleGrant(grant.demand, grant.charge);
		leases.release(grant.backend);
	}
	entry.grants = entry.grants.filter((grant) => !isCancelled(grant));
}
