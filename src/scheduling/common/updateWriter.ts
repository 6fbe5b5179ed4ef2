import type { PoolUpdate } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import type { EntryDemand, ServiceLedger } from './serviceLedger.js';
import { type EntryLeases } from './slotLeases.js';

/** Slack and quantum are sent again when they changed by more than this factor, since they only tune when to report. */
const TUNING_TOLERANCE = 1.25;

/** An error of an entry's view that does not change its decisions is tolerated up to this many quanta. */
const INDIFFERENT_FACTOR = 2;

/** What one entry has been told, and what it has to be told. */
export interface EntryUpdates extends EntryLeases {
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
export interface PoolFigures {
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
export function hasDrifted(entry: EntryUpdates, ledger: ServiceLedger, figures: PoolFigures): boolean {
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
export function writeUpdate(entry: EntryUpdates, ledger: ServiceLedger, figures: PoolFigures): PoolUpdate {
	const { floor } = ledger;
	const update: PoolUpdate = {
		pool: figures.pool,
		term: figures.term,
		sequence: ++entry.sequence,
		grants: toCounts(entry.nextGrants),
		recalls: toCounts(entry.nextRecalls),
		bases: takeBases(entry, ledger, figures),
		floor,
		slack: isRetuned(entry.sentSlack, figures.slack) ? figures.slack : undefined,
		quantum: isRetuned(entry.sentQuantum, figures.quantum) ? figures.quantum : undefined,
		contended: figures.contended,
		reportRequested: entry.reportRequested,
	};
	entry.sentFloor = floor;
	entry.sentSlack = update.slack ?? entry.sentSlack;
	entry.sentQuantum = update.quantum ?? entry.sentQuantum;
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

function takeBases(entry: EntryUpdates, ledger: ServiceLedger, figures: PoolFigures): PoolUpdate['bases'] {
	const { floor } = ledger;
	const bases: PoolUpdate['bases'] = [];
	for (const [key, demand] of entry.demand) {
		if (isActive(demand) && isMisled(demand, ledger, floor, figures)) {
			const { virtualService } = demand.account;
			const excess = virtualService - floor;
			demand.sent = { base: virtualService - demand.charged / ledger.shareOf(key), excess };
			bases.push({ account: key, excess });
		}
	}
	return bases;
}

/**
 * Compares an account's distance from the floor with what the entry computes from what it was told. Errors on one side
 * of the slack hardly change what the entry does, so they are tolerated longer.
 */
function isMisled(demand: EntryDemand, ledger: ServiceLedger, toldFloor: number, figures: PoolFigures): boolean {
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
