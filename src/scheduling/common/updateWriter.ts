import type { PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { AccountNumbers } from './accountNumbers.js';
import type { EntryDemand, ServiceLedger } from './serviceLedger.js';
import { type EntryLeases } from './slotLeases.js';

/**
 * Slack and quantum are sent again when they have changed by more than this factor. They tune when entries start
 * requests and when they report, and need not be exact.
 */
const TUNING_CHANGE_FACTOR = 1.25;

/** Tolerated error of an entry's view that does not change the entry's decisions, in quanta. */
const INDIFFERENT_ERROR_QUANTA = 2;

/** Excesses are sent in steps of the quantum divided by this number; the rounding error is far below the tolerance. */
export const EXCESS_STEPS_PER_QUANTUM = 16;

/** Maximum value of the field on the wire, a signed 32-bit integer. */
const MAXIMUM_STEPS = 0x7fff_ffff;

/** What was sent to one entry, and what has to be sent next. */
export interface EntrySyncState extends EntryLeases {
	/** Numbers that replace account keys in messages. */
	readonly numbers: AccountNumbers;
	/** Demand by short key of the account. */
	readonly demand: Map<number, EntryDemand>;
	/** Sequence number of the last update. */
	sequence: number;
	/** Grants to send with the next update, by backend server. */
	nextGrants: Map<number, number>;
	sentFloor: number;
	sentSlack: number | undefined;
	sentQuantum: number | undefined;
	reportRequested: boolean;
	/** Whether the next update has to be sent at once. */
	dirty: boolean;
}

/** Values of the pool that its updates carry. */
export interface PoolParameters {
	readonly pool: number;
	readonly term: number;
	readonly contended: boolean;
	/** In normalised cost. */
	readonly slack: number;
	/** In normalised cost. */
	readonly quantum: number;
}

/**
 * Checks whether an entry may decide wrongly because its view of the virtual services is outdated.
 *
 * @param entry what was sent to the entry
 * @param ledger current virtual services
 * @param parameters values of the pool
 * @returns whether the view has drifted beyond the tolerance
 */
export function hasDrifted(entry: EntrySyncState, ledger: ServiceLedger, parameters: PoolParameters): boolean {
	for (const demand of entry.demand.values()) {
		if (isActive(demand) && isViewOutdated(demand, ledger, entry.sentFloor, parameters)) {
			return true;
		}
	}
	return false;
}

/**
 * Builds the next update of an entry and records what it contains.
 *
 * @param entry what was sent to the entry
 * @param ledger current virtual services
 * @param parameters values of the pool
 * @returns the message
 */
export function writeUpdate(entry: EntrySyncState, ledger: ServiceLedger, parameters: PoolParameters): PoolUpdate {
	const { floor } = ledger;
	const quantum = hasChangedNotably(entry.sentQuantum, parameters.quantum) ? parameters.quantum : undefined;
	entry.sentQuantum = quantum ?? entry.sentQuantum;
	const update: PoolUpdate = {
		pool: parameters.pool,
		term: parameters.term,
		sequence: ++entry.sequence,
		grants: toCounts(entry.nextGrants),
		recalls: toCounts(entry.nextRecalls),
		...writeExcesses(entry, ledger, parameters),
		floor,
		slack: hasChangedNotably(entry.sentSlack, parameters.slack) ? parameters.slack : undefined,
		quantum,
		contended: parameters.contended,
		reportRequested: entry.reportRequested,
	};
	entry.sentFloor = floor;
	entry.sentSlack = update.slack ?? entry.sentSlack;
	entry.nextGrants = new Map();
	entry.nextRecalls = new Map();
	entry.reportRequested = false;
	entry.dirty = false;
	return update;
}

/** An entry needs the virtual service of the accounts for which it may start requests. */
function isActive(demand: EntryDemand): boolean {
	return demand.queued > 0 || demand.running;
}

function hasChangedNotably(sent: number | undefined, value: number): boolean {
	return sent === undefined || value > sent * TUNING_CHANGE_FACTOR || value < sent / TUNING_CHANGE_FACTOR;
}

function writeExcesses(
	entry: EntrySyncState,
	ledger: ServiceLedger,
	parameters: PoolParameters,
): Pick<PoolUpdate, 'accounts' | 'excesses'> {
	const { floor } = ledger;
	const unit = (entry.sentQuantum ?? parameters.quantum) / EXCESS_STEPS_PER_QUANTUM;
	const accounts: number[] = [];
	const excesses: number[] = [];
	for (const [key, demand] of entry.demand) {
		const number = entry.numbers.numberOf(key);
		if (number === undefined || !isActive(demand) || !isViewOutdated(demand, ledger, floor, parameters)) {
			continue;
		}
		const { virtualService } = demand.account;
		const steps = unit > 0 ? Math.min(MAXIMUM_STEPS, Math.round((virtualService - floor) / unit)) : 0;
		const excess = steps * unit;
		demand.sent = { base: floor + excess - demand.charged / ledger.shareOf(key), excess };
		accounts.push(number);
		excesses.push(steps);
	}
	return { accounts, excesses };
}

/**
 * Compares an account's excess above the floor with the value that the entry computes from what was sent. While both
 * are on the same side of the slack, the error hardly changes the entry's decisions, so a larger one is tolerated.
 */
function isViewOutdated(
	demand: EntryDemand,
	ledger: ServiceLedger,
	entryFloor: number,
	parameters: PoolParameters,
): boolean {
	if (demand.sent === undefined) {
		return true;
	}
	const ownService = demand.charged / ledger.shareOf(demand.account.key);
	const view = Math.max(demand.sent.base + ownService - entryFloor, demand.sent.excess);
	const actual = demand.account.virtualService - ledger.floor;
	const changesDecision = view <= parameters.slack !== actual <= parameters.slack;
	const tolerance = changesDecision ? parameters.quantum : parameters.quantum * INDIFFERENT_ERROR_QUANTA;
	return Math.abs(actual - view) > tolerance;
}

function toCounts(counts: ReadonlyMap<number, number>): { backend: number; count: number }[] {
	return [...counts].map(([backend, count]) => ({ backend, count }));
}
