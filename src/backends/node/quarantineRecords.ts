import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { formatShortKeys } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { KeyValue, StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { SUSPECT_KINDS, type SuspectKind, type Suspects } from '../common/suspectRegistry.js';
import { decodeSuspects, encodeSuspects, type StoredEvidence, type StoredSuspects } from './quarantineCodec.js';

/** Key of what is known of suspects. */
const KEY = 'masticloom/quarantines';

/** Interval at which changes are looked for, which is little compared with the time in which a request is repeated. */
const CHANGE_INTERVAL_MS = 250;

/** Minimum interval between writes of evidence; quarantines are written at once. */
const EVIDENCE_INTERVAL_MS = 1_000;

/** Interval at which the stored suspects are compared with the known ones, which a restored store may lack. */
const COMPARISON_INTERVAL_MS = 10_000;

/** Pause after a call that has failed, since the store counts refused calls too. */
const RETRY_DELAY_MS = 1_000;

/** Maximum number of stored quarantines of one kind; those that end first are left out. */
const MAXIMUM_QUARANTINES = 200;

/** Maximum number of suspects of one kind whose evidence is stored; those with the fewest crashes are left out. */
const MAXIMUM_EVIDENCE = 200;

/** Maximum number of crashes stored of one suspect; fewer suffice for a quarantine. */
const MAXIMUM_CRASHES = 4;

const NOTHING_STORED: StoredSuspects = { quarantines: [], evidence: [] };

const QUARANTINE_MARK = 'quarantined';
const CLEARED_MARK = 'cleared';

/**
 * Keeps what is known of suspects in the store, so that it outlives the loss of all routers: what is quarantined, the crashes
 * that may lead to a quarantine, and what has been cleared.
 *
 * Load pattern: all routers are killed or lose power, once or several times, while a request that crashes its servers is
 * repeated.
 */
export class QuarantineRecords {
	private isRead = false;
	/** What the store had at the last call, as {@link describe} lists it. */
	private stored: ReadonlySet<string> = new Set();
	/** Names of the suspects in {@link stored}. */
	private storedSuspects: ReadonlySet<string> = new Set();
	private comparedAt = -Infinity;
	private writtenAt = -Infinity;

	private constructor(
		private readonly store: IRevisionedStore,
		private readonly suspects: Suspects,
		private readonly isWriter: () => boolean,
		private readonly clock: IClock,
		private readonly unixMs: () => number,
		private readonly log: IDecisionLog,
	) {}

	/**
	 * @param store holds what is known
	 * @param suspects of this router
	 * @param isWriter returns whether this router is one of the few that write
	 * @param clock measures intervals
	 * @param unixMs returns the time of day in Unix milliseconds
	 * @param log records changes and failures
	 * @returns records that are read and written by {@link run}
	 */
	public static create(
		store: IRevisionedStore,
		suspects: Suspects,
		isWriter: () => boolean,
		clock: IClock,
		unixMs: () => number,
		log: IDecisionLog,
	): QuarantineRecords {
		return new QuarantineRecords(store, suspects, isWriter, clock, unixMs, log);
	}

	/** @returns an effect that reads what is stored once and then writes changes, until interrupted */
	public run(): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			for (;;) {
				const result = self.isDue() ? yield* Effect.result(self.synchronize()) : undefined;
				if (result?._tag === 'Failure') {
					self.log.write('quarantines-unsaved', { ...result.failure });
					yield* Effect.sleep(RETRY_DELAY_MS);
				}
				yield* Effect.sleep(CHANGE_INTERVAL_MS);
			}
		});
	}

	private isDue(): boolean {
		if (!this.isRead) {
			return true;
		}
		if (!this.isWriter()) {
			return false;
		}
		const now = this.clock.now();
		const missing = [...this.describe(this.known())].filter((item) => this.lacks(item));
		const isEvidenceDue = now - this.writtenAt >= EVIDENCE_INTERVAL_MS;
		const isComparisonDue = now - this.comparedAt >= COMPARISON_INTERVAL_MS && this.hasSuspects;
		return missing.some((item) => isEvidenceDue || this.changesQuarantine(item)) || isComparisonDue;
	}

	/** Applies what is stored, and writes what the store lacks. */
	private synchronize(): Effect.Effect<void, StoreError> {
		const self = this;
		return Effect.gen(function* () {
			let current = yield* self.store.get(KEY);
			for (;;) {
				self.applyStored(current);
				self.isRead = true;
				self.comparedAt = self.clock.now();
				const known = self.known();
				const description = self.describe(known);
				const isOutdated = [...description].some((item) => self.lacks(item));
				if (!isOutdated || !self.isWriter()) {
					return;
				}
				const result = yield* self.store.compareAndSwap(KEY, current?.revision ?? 0, encodeSuspects(known));
				if (result.swapped) {
					self.log.write('quarantines-saved', { known: [...description].sort().join(' ') });
					self.setStored(description);
					self.writtenAt = self.clock.now();
					return;
				}
				current = result.current;
			}
		});
	}

	private applyStored(current: KeyValue | undefined): void {
		const now = this.clock.now();
		const unixMs = this.unixMs();
		const stored = current === undefined ? NOTHING_STORED : decodeSuspects(current.value);
		const ageMs = (atMs: number): number => Math.max(0, unixMs - atMs);
		for (const { kind, key, crashes, beganAtMs, endsAtMs } of stored.quarantines) {
			if (endsAtMs > unixMs) {
				const quarantineMs = endsAtMs - unixMs;
				this.suspects[kind].applyQuarantine({ key, crashes, quarantineMs, ageMs: ageMs(beganAtMs) }, now);
			}
		}
		for (const { kind, key, crashedAtMs, clearedAtMs } of stored.evidence) {
			const crashes = crashedAtMs.map(([server, atMs]) => ({ server, ageMs: ageMs(atMs) }));
			const clearedAgeMs = clearedAtMs === 0 ? undefined : ageMs(clearedAtMs);
			this.suspects[kind].applyEvidence({ key, crashes, clearedAgeMs }, now);
		}
		this.setStored(this.describe(stored));
	}

	private setStored(description: ReadonlySet<string>): void {
		this.stored = description;
		this.storedSuspects = new Set([...description].map(suspectOf));
	}

	/**
	 * Whether the store lacks something that is known. That a suspect has been cleared matters only if the store has something
	 * against it. What the store has beyond what is known has expired, or will be read.
	 */
	private lacks(item: string): boolean {
		return !this.stored.has(item) && (!item.endsWith(CLEARED_MARK) || this.storedSuspects.has(suspectOf(item)));
	}

	private changesQuarantine(item: string): boolean {
		return (
			item.endsWith(QUARANTINE_MARK) ||
			(item.endsWith(CLEARED_MARK) && this.stored.has(`${suspectOf(item)} ${QUARANTINE_MARK}`))
		);
	}

	private get hasSuspects(): boolean {
		return SUSPECT_KINDS.some((kind) => this.suspects[kind].hasSuspects);
	}

	/** What is known, as it is stored. */
	private known(): StoredSuspects {
		const now = this.clock.now();
		const unixMs = this.unixMs();
		return {
			quarantines: SUSPECT_KINDS.flatMap((kind) =>
				[...this.suspects[kind].listQuarantined(now)]
					.sort((one, other) => other.quarantineMs - one.quarantineMs)
					.slice(0, MAXIMUM_QUARANTINES)
					.map(({ key, crashes, quarantineMs, ageMs }) => ({
						kind,
						key,
						crashes,
						beganAtMs: unixMs - ageMs,
						endsAtMs: unixMs + quarantineMs,
					})),
			),
			evidence: SUSPECT_KINDS.flatMap((kind) => this.knownEvidence(kind, now, unixMs)),
		};
	}

	private knownEvidence(kind: SuspectKind, now: number, unixMs: number): readonly StoredEvidence[] {
		return this.suspects[kind]
			.listEvidence(now)
			.slice(0, MAXIMUM_EVIDENCE)
			.map(({ key, crashes, clearedAgeMs }) => ({
				kind,
				key,
				crashedAtMs: crashes.slice(-MAXIMUM_CRASHES).map(({ server, ageMs }) => [server, unixMs - ageMs] as const),
				clearedAtMs: clearedAgeMs === undefined ? 0 : unixMs - clearedAgeMs,
			}));
	}

	/** Lists each fact once, for comparison and for the log. */
	private describe({ quarantines, evidence }: StoredSuspects): ReadonlySet<string> {
		const name = (kind: SuspectKind, key: number): string => `${kind}:${formatShortKeys([key])}`;
		return new Set([
			...quarantines.map(({ kind, key }) => `${name(kind, key)} ${QUARANTINE_MARK}`),
			...evidence.flatMap(({ kind, key, crashedAtMs, clearedAtMs }) => [
				...crashedAtMs.map(([server]) => `${name(kind, key)} ${formatShortKeys([server])}`),
				...(clearedAtMs === 0 ? [] : [`${name(kind, key)} ${CLEARED_MARK}`]),
			]),
		]);
	}
}

/** Returns the name of the suspect in an item of a description, which ends with a fact about it. */
function suspectOf(item: string): string {
	return item.slice(0, item.lastIndexOf(' '));
}
