import { AccountNumbers } from './accountNumbers.js';
import type { EntryDemand, ServiceLedger } from './serviceLedger.js';
import { createEntryLeases, type SlotLeases } from './slotLeases.js';
import type { EntrySyncState } from './updateWriter.js';

/** A slot that was granted and whose arrival no report has acknowledged. */
export interface PendingGrant {
	/** Number of the update that carries it. */
	readonly sequence: number;
	readonly demand: EntryDemand;
	readonly backend: number;
	/** Normalised charge until the acknowledgement. */
	readonly charge: number;
}

/** What a scheduler knows of one process of an entry. */
export interface EntryRecord extends EntrySyncState {
	readonly instance: string;
	readonly incarnation: string;
	grants: PendingGrant[];
	/** Updates up to this one that are not acknowledged went to a stream that ended, so they never arrive. */
	lostSequence: number;
	/** A complete report was received; before that, changes have nothing to refer to. */
	synchronised: boolean;
}

/**
 * @param instance name of the entry
 * @param incarnation its process
 * @returns record of an entry that has reported nothing
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
 * Counts grants that have arrived as held slots.
 *
 * @param entry record of the entry
 * @param sequence number of the last update that arrived
 * @param ledger where the grants are charged
 * @param leases where the slots are counted
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
 * Takes grants back that never arrive.
 *
 * @param entry record of the entry
 * @param isVoid which grants are taken back
 * @param ledger where the grants are charged
 * @param leases where the slots are counted
 */
export function cancelGrants(
	entry: EntryRecord,
	isVoid: (grant: PendingGrant) => boolean,
	ledger: ServiceLedger,
	leases: SlotLeases,
): void {
	for (const grant of entry.grants.filter(isVoid)) {
		ledger.settleGrant(grant.demand, grant.charge);
		leases.release(grant.backend);
	}
	entry.grants = entry.grants.filter((grant) => !isVoid(grant));
}
