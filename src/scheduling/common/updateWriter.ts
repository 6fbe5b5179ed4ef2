import type { PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { AccountNumbers } from './accountNumbers.js';
import type { EntryDemand, ServiceLedger } from './serviceLedger.js';
import { type EntryLeases } from './slotLeases.js';

/** Slack and quantum are sent again when they changed by more than this factor, since they only tune when to report. */
const TUNING_TOLERANCE = 1.25;

/** An error of an entry's view that does not change its decisions is tolerated up to this many quanta. */
const INDIFFERENT_FACTOR = 2;

/** Excesses are sent in this part of the quantum, which rounds them by far less than entries may be misled. */
export const EXCESS_STEPS_PER_QUANTUM = 16;

/** Largest value of the field. */
const LARGEST_STEPS = 0x7fff_ffff;

/** What one entry has been told, and what it has to be told. */
export interface EntrySyncState extends EntryLeases {
	/** Numbers that stand for accounts in messages. */
	readonly numbers: AccountNumbers;
	readonly demand: Map<number, EntryDemand>;
	sequence: number;
	nextGrants: Map<number, number>;
	sentFloor: number;
	sentSlack: number | undefined;
	sentQuantum: number | undefined;
	reportRequested: boolean;
	/** The next update has to be sent at once. */
	dirty: boolean;
}

/** Figures of the pool that every update carries. */
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
 * @param entry what the entry was told
 * @param ledger current virtual services
 * @param figures figures of the pool
 * @returns whether the entry may decide wrongly by what it was told
 */
export function hasDrifted(entry: EntrySyncState, ledger: ServiceLedger, figures: PoolParameters): boolean {
	for (const demand of entry.demand.values()) {
		if (isActive(demand) && isMisled(demand, ledger, entry.sentFloor, figures)) {
			return true;
		}
	}
	return false;
}

/**
 * Builds the next update of an entry and notes what it was told.
 *
 * @param entry what the entry was told
 * @param ledger current virtual services
 * @param figures figures of the pool
 * @returns the message
 */
export function writeUpdate(entry: EntrySyncState, ledger: ServiceLedger, figures: PoolParameters): PoolUpdate {
	const { floor } = ledger;
	const quantum = isRetuned(entry.sentQuantum, figures.quantum) ? figures.quantum : undefined;
	entry.sentQuantum = quantum ?? entry.sentQuantum;
	const update: PoolUpdate = {
		pool: figures.pool,
		term: figures.term,
		sequence: ++entry.sequence,
		grants: toCounts(entry.nextGrants),
		recalls: toCounts(entry.nextRecalls),
		...takeBases(entry, ledger, figures),
		floor,
		slack: isRetuned(entry.sentSlack, figures.slack) ? figures.slack : undefined,
		quantum,
		contended: figures.contended,
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

function isRetuned(sent: number | undefined, value: number): boolean {
	return sent === undefined || value > sent * TUNING_TOLERANCE || value < sent / TUNING_TOLERANCE;
}

function takeBases(
	entry: EntrySyncState,
	ledger: ServiceLedger,
	figures: PoolParameters,
): Pick<PoolUpdate, 'accounts' | 'excesses'> {
	const { floor } = ledger;
	const unit = (entry.sentQuantum ?? figures.quantum) / EXCESS_STEPS_PER_QUANTUM;
	const accounts: number[] = [];
	const excesses: number[] = [];
	for (const [key, demand] of entry.demand) {
		const number = entry.numbers.numberOf(key);
		if (number === undefined || !isActive(demand) || !isMisled(demand, ledger, floor, figures)) {
			continue;
		}
		const { virtualService } = demand.account;
		const steps = unit > 0 ? Math.min(LARGEST_STEPS, Math.round((virtualService - floor) / unit)) : 0;
		const excess = steps * unit;
		demand.sent = { base: floor + excess - demand.charged / ledger.shareOf(key), excess };
		accounts.push(number);
		excesses.push(steps);
	}
	return { accounts, excesses };
}

/**
 * Compares an account's distance from the floor with what the entry computes from what it was told. Errors on one side
 * of the slack hardly change what the entry does, so they are tolerated longer.
 */
function isMisled(demand: EntryDemand, ledger: ServiceLedger, toldFloor: number, figures: PoolParameters): boolean {
	if (demand.sent === undefined) {
		return true;
	}
	const own = demand.charged / ledger.shareOf(demand.account.key);
	const view = Math.max(demand.sent.base + own - toldFloor, demand.sent.excess);
	const actual = demand.account.virtualService - ledger.floor;
	const changesDecision = view <= figures.slack !== actual <= figures.slack;
	const tolerance = changesDecision ? figures.quantum : figures.quantum * INDIFFERENT_FACTOR;
	return Math.abs(actual - view) > tolerance;
}

function toCounts(counts: ReadonlyMap<number, number>): { backend: number; count: number }[] {
	return [...counts].map(([backend, count]) => ({ backend, count }));
}
