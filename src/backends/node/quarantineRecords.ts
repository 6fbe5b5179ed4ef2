import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { formatShortKeys } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { KeyValue, StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore } from '../../store/common/revisionedStore.js';
import { SUSPECT_KINDS, type SuspectKind, type Suspects, type SuspectStatus } from '../common/suspectRegistry.js';
import { decodeQuarantines, encodeQuarantines, type StoredQuarantine } from './quarantineCodec.js';

/** Key of what is quarantined. */
const KEY = 'masticloom/quarantines';

/** Interval at which changes are looked for, which is little compared with the time in which a request is repeated. */
const CHANGE_INTERVAL_MS = 250;

/** Interval at which the stored quarantines are compared with the known ones, which a restored store may lack. */
const COMPARISON_INTERVAL_MS = 10_000;

/** Pause after a call that has failed, since the store counts refused calls too. */
const RETRY_DELAY_MS = 1_000;

/** Maximum number of stored quarantines of one kind; those that end first are left out. */
const MAXIMUM_QUARANTINES = 200;

/**
 * Keeps what is quarantined in the store, so that it outlives the loss of all routers.
 *
 * Load pattern: all routers are killed or lose power, once or several times, while a request that crashes its servers is
 * repeated.
 */
export class QuarantineRecords {
	private isRead = false;
	/** The quarantines that the store had at the last call, as {@link describe} lists them. */
	private stored = '';
	private comparedAt = -Infinity;

	private constructor(
		private readonly store: IRevisionedStore,
		private readonly suspects: Suspects,
		private readonly isWriter: () => boolean,
		private readonly clock: IClock,
		private readonly unixMs: () => number,
		private readonly log: IDecisionLog,
	) {}

	/**
	 * @param store holds the quarantines
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

	/** @returns an effect that reads the quarantines once and then writes changes, until interrupted */
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
		const known = this.describe();
		const isComparisonDue = known !== '' && this.clock.now() - this.comparedAt >= COMPARISON_INTERVAL_MS;
		return this.isWriter() && (known !== this.stored || isComparisonDue);
	}

	/** Applies the stored quarantines, and writes those that the store lacks and those that it still has. */
	private synchronize(): Effect.Effect<void, StoreError> {
		const self = this;
		return Effect.gen(function* () {
			let current = yield* self.store.get(KEY);
			for (;;) {
				const isOutdated = self.applyStored(current);
				self.isRead = true;
				self.comparedAt = self.clock.now();
				const known = self.describe();
				if (!isOutdated || !self.isWriter()) {
					self.stored = known;
					return;
				}
				const result = yield* self.store.compareAndSwap(KEY, current?.revision ?? 0, self.encode());
				if (result.swapped) {
					self.log.write('quarantines-saved', { known });
					self.stored = known;
					return;
				}
				current = result.current;
			}
		});
	}

	/** Applies what is stored, and returns whether it differs from what is known then. */
	private applyStored(current: KeyValue | undefined): boolean {
		const now = this.clock.now();
		const unixMs = this.unixMs();
		const stored = current === undefined ? [] : decodeQuarantines(current.value);
		for (const { kind, key, crashes, beganAtMs, endsAtMs } of stored) {
			if (endsAtMs > unixMs) {
				const ageMs = Math.max(0, unixMs - beganAtMs);
				this.suspects[kind].applyQuarantine({ key, crashes, quarantineMs: endsAtMs - unixMs, ageMs }, now);
			}
		}
		return this.describe() !== describeKeys(stored);
	}

	private quarantinedOf(kind: SuspectKind): readonly SuspectStatus[] {
		return [...this.suspects[kind].listQuarantined(this.clock.now())]
			.sort((one, other) => other.quarantineMs - one.quarantineMs)
			.slice(0, MAXIMUM_QUARANTINES);
	}

	private encode(): Uint8Array {
		const unixMs = this.unixMs();
		return encodeQuarantines(
			SUSPECT_KINDS.flatMap((kind) =>
				this.quarantinedOf(kind).map(({ key, crashes, quarantineMs, ageMs }) => ({
					kind,
					key,
					crashes,
					beganAtMs: unixMs - ageMs,
					endsAtMs: unixMs + quarantineMs,
				})),
			),
		);
	}

	/** The known quarantines, for comparison and for the log. */
	private describe(): string {
		return describeKeys(SUSPECT_KINDS.flatMap((kind) => this.quarantinedOf(kind).map(({ key }) => ({ kind, key }))));
	}
}

function describeKeys(quarantines: readonly Pick<StoredQuarantine, 'kind' | 'key'>[]): string {
	return quarantines
		.map(({ kind, key }) => `${kind}:${formatShortKeys([key])}`)
		.sort()
		.join(' ');
}
