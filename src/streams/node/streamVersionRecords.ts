import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { StoreError } from '../../store/common/keyValueStore.js';
import type { IRevisionedStore, Snapshot } from '../../store/common/revisionedStore.js';
import { BegunStreams, streamKeyOf } from '../common/begunStreams.js';
import type { IStreamVersions, StreamIdentity, StreamOrigin } from '../common/streamVersions.js';
import { type StoredHistory, VersionHistory, type VersionedServer } from '../common/versionHistory.js';
import { decodeHistory, decodeRecord, encodeHistory, encodeRecord } from './recordCodec.js';

/** Prefix of all keys of this module. */
const PREFIX = 'masticloom/streams/';

/** Key of the versions of all services. */
const HISTORY_KEY = `${PREFIX}versions`;

/** Prefix of the streams that a router has begun; its name and the start of its process follow. */
const RECORDS_PREFIX = `${PREFIX}begun/`;

/** Minimum interval at which a router writes its streams; what began since the last write is lost with the router. */
const MINIMUM_WRITE_INTERVAL_MS = 250;

/** Part of the store's writes that the records of all routers may use. */
const WRITES_FRACTION = 0.1;

/** A lease lasts for longer than a stream, so that the record outlives its router for as long as it is needed. */
const LEASE_SECONDS = 60;

/** A lease older than this is replaced by a new one. */
const LEASE_RENEWAL_MS = 30_000;

/** Interval at which the stored versions are compared with the known ones, which a restored store may lack. */
const HISTORY_CHECK_INTERVAL_MS = 10_000;

/**
 * Time before a request during which a read must have begun to show that there is one version. A server that registers
 * after the read cannot have begun a stream that is already taken up again.
 */
const SINGLE_VERSION_VALID_MS = 50;

/** Minimum interval between reads while there are several versions; grows with the number of routers. */
const MINIMUM_READ_INTERVAL_MS = 100;
const READ_INTERVAL_PER_ROUTER_MS = 6;

/** Maximum wait for a read before a request is answered; the store answers within 4 ms, or 200 ms when it is slow. */
const READ_TIMEOUT_MS = 500;

/** Pause after a call that has failed, since the store counts refused calls too. */
const RETRY_DELAY_MS = 1_000;

/** Margin for clocks that differ between routers, in addition to the longest time for which a stream is taken up. */
const CLOCK_MARGIN_MS = 10_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** State of the fleet that this module depends on. */
export interface StreamRecordFleet {
	/** Name of this router. */
	readonly instance: string;
	/** Number of routers in service. */
	readonly countRouters: () => number;
	/** Write calls a second that the store takes from all routers. */
	readonly writesPerSecond: number;
	/** Whether this router is one of the few that write the history. */
	readonly isHistoryWriter: () => boolean;
	/** Reads the current registrations of all servers from the store. */
	readonly readRegistrations: () => Effect.Effect<readonly VersionedServer[], StoreError>;
	/** Whether this router knows of the same registrations as all others, when the store cannot be read. */
	readonly isInStep: () => boolean;
	/** Longest time for which the configuration lets a request last, in milliseconds. */
	readonly longestRequestMs: () => number;
}

/** State of the records, for the state dump. */
export interface StreamRecordState {
	readonly versions: StoredHistory;
	readonly ownStreams: number;
	readonly recordedStreams: number;
}

/**
 * Keeps the software versions of streams in the store while several versions serve side by side, and for as long as a
 * stream can last afterwards. While there has been one version for that time, nothing is written, and streams that are
 * taken up share a read: this router may not have heard yet of a version that has joined.
 *
 * Load pattern: all routers are killed at once during a release, and all their callers take their streams up in the
 * first second of the new processes.
 */
export class StreamVersionRecords implements IStreamVersions {
	private readonly begun = BegunStreams.create();
	private readonly history: VersionHistory;
	private readonly recordKey: string;
	/** Versions of the streams that routers have recorded, by stream key. */
	private recorded: ReadonlyMap<number, string> = new Map();
	/** When the last read that succeeded began. */
	private readAt: number | undefined;
	/** Whether the history has been read since the start. */
	private hasHistory = false;
	private reading: Promise<boolean> | undefined;
	private longestLifetimeMs = 0;
	private hasUnwritten = false;
	private revision = 0;
	private lease: { readonly id: string; readonly grantedAt: number } | undefined;
	private historyCheckedAt = -Infinity;

	private constructor(
		private readonly store: IRevisionedStore,
		private readonly fleet: StreamRecordFleet,
		private readonly clock: IClock,
		private readonly unixMs: () => number,
		private readonly log: IDecisionLog,
	) {
		this.recordKey = `${RECORDS_PREFIX}${fleet.instance}.${unixMs().toString(36)}`;
		this.history = VersionHistory.create(
			() => Math.max(this.longestLifetimeMs, fleet.longestRequestMs()) + CLOCK_MARGIN_MS,
		);
	}

	/**
	 * @param store holds the records
	 * @param fleet state of the fleet
	 * @param clock measures intervals
	 * @param unixMs returns the time of day in Unix milliseconds
	 * @param log records changes and failures
	 * @returns records without streams; {@link run} reads and writes the store
	 */
	public static create(
		store: IRevisionedStore,
		fleet: StreamRecordFleet,
		clock: IClock,
		unixMs: () => number,
		log: IDecisionLog,
	): StreamVersionRecords {
		return new StreamVersionRecords(store, fleet, clock, unixMs, log);
	}

	/** @param servers all registered servers, including those that are leaving */
	public setRegistered(servers: readonly VersionedServer[]): void {
		const wasMixed = this.isMixed;
		this.history.setRegistered(servers, this.unixMs());
		if (this.isMixed && !wasMixed) {
			// Streams that began while there was one version were not recorded.
			this.hasUnwritten = true;
			this.log.write('versions-mixed', { versions: JSON.stringify(this.history.toStored()) });
		}
	}

	public recordBegin(stream: StreamIdentity, version: string | undefined, lifetimeMs: number): void {
		if (version === undefined || stream.attempt === undefined) {
			return;
		}
		this.longestLifetimeMs = Math.max(this.longestLifetimeMs, lifetimeMs);
		this.begun.add(stream, version, this.clock.now() + lifetimeMs);
		this.hasUnwritten = true;
	}

	public findOrigin(service: string, stream: StreamIdentity): Effect.Effect<StreamOrigin> {
		const self = this;
		return Effect.gen(function* () {
			const version = self.begun.versionOf(stream);
			if (version !== undefined) {
				return { kind: 'known', version, source: 'own' };
			}
			const isCurrent = !self.isReadDue(service) || (yield* self.readInTime());
			const recorded = self.recorded.get(streamKeyOf(stream));
			if (recorded !== undefined) {
				return { kind: 'known', version: recorded, source: 'record' };
			}
			const single = isCurrent || self.fleet.isInStep() ? self.singleVersionOf(service) : undefined;
			return single === undefined
				? { kind: 'unknown', isTemporary: !isCurrent }
				: { kind: 'known', version: single, source: 'single-version' };
		});
	}

	/** @returns the state of the records */
	public describe(): StreamRecordState {
		return {
			versions: this.history.toStored(),
			ownStreams: this.begun.size,
			recordedStreams: this.recorded.size,
		};
	}

	/** @returns an effect that reads the records once and then writes those of this router, until interrupted */
	public run(): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			for (;;) {
				yield* Effect.sleep(self.writeIntervalMs);
				const isRead = self.hasHistory || (yield* self.succeeds('stream-records-unread', self.readRecords()));
				if (!isRead || !(yield* self.writeHistoryIfDue()) || !(yield* self.writeRecordIfDue())) {
					yield* Effect.sleep(RETRY_DELAY_MS);
				}
			}
		});
	}

	private get isMixed(): boolean {
		return this.history.isAnyMixed(this.unixMs());
	}

	/** The only known version that can have begun a stream; undefined when there are several, or nothing has been read. */
	private singleVersionOf(service: string): string | undefined {
		const versions = this.history.possibleVersions(service, this.unixMs());
		return this.hasHistory && versions.length === 1 ? versions[0] : undefined;
	}

	private isReadDue(service: string): boolean {
		const ageMs = this.clock.now() - (this.readAt ?? -Infinity);
		const intervalMs =
			this.singleVersionOf(service) === undefined
				? MINIMUM_READ_INTERVAL_MS + READ_INTERVAL_PER_ROUTER_MS * this.fleet.countRouters()
				: SINGLE_VERSION_VALID_MS;
		return ageMs >= intervalMs;
	}

	private get writeIntervalMs(): number {
		const writesPerMs = (this.fleet.writesPerSecond * WRITES_FRACTION) / MILLISECONDS_PER_SECOND;
		return Math.max(MINIMUM_WRITE_INTERVAL_MS, this.fleet.countRouters() / writesPerMs);
	}

	/** Returns whether a read has succeeded that began late enough to be current. */
	private readInTime(): Effect.Effect<boolean> {
		const earliest = this.clock.now() - SINGLE_VERSION_VALID_MS;
		const read = async (): Promise<boolean> => {
			const isRead = await this.read();
			// The read may have been in progress for long.
			return isRead && (this.readAt ?? -Infinity) < earliest ? this.read() : isRead;
		};
		return Effect.map(
			Effect.timeoutOption(Effect.promise(read), READ_TIMEOUT_MS),
			(result) => result._tag === 'Some' && result.value,
		);
	}

	/** Reads the registrations and the records of all routers; callers that come during a read share its result. */
	private read(): Promise<boolean> {
		if (this.reading !== undefined) {
			return this.reading;
		}
		const beganAt = this.clock.now();
		const calls = Effect.all([this.fleet.readRegistrations(), this.store.readAll(PREFIX)], { concurrency: 2 });
		const applied = Effect.map(calls, ([servers, records]) => {
			this.setRegistered(servers);
			this.applyRecords(records);
			this.readAt = beganAt;
		});
		this.reading = Effect.runPromise(this.succeeds('stream-records-unread', applied)).finally(() => {
			this.reading = undefined;
		});
		return this.reading;
	}

	private readRecords(): Effect.Effect<void, StoreError> {
		return Effect.map(this.store.readAll(PREFIX), (records) => this.applyRecords(records));
	}

	private applyRecords({ entries }: Snapshot): void {
		const history = entries.find(({ key }) => key === HISTORY_KEY);
		this.history.merge(history === undefined ? {} : decodeHistory(history.value), this.unixMs());
		this.recorded = new Map(
			entries
				.filter(({ key }) => key.startsWith(RECORDS_PREFIX))
				.flatMap(({ value }) => Object.entries(decodeRecord(value)))
				.flatMap(([version, keys]) => keys.map((key) => [key, version] as const)),
		);
		this.hasHistory = true;
	}

	/** Returns false when a call has failed. */
	private writeRecordIfDue(): Effect.Effect<boolean> {
		const streams = this.begun.list(this.clock.now());
		if (!this.isMixed || !this.hasUnwritten) {
			return Effect.succeed(true);
		}
		this.hasUnwritten = false;
		return Effect.map(this.succeeds('stream-record-failed', this.writeRecord(encodeRecord(streams))), (isWritten) => {
			if (!isWritten) {
				this.hasUnwritten = true;
				this.lease = undefined;
			}
			return isWritten;
		});
	}

	/** Returns false when a call has failed. */
	private writeHistoryIfDue(): Effect.Effect<boolean> {
		const now = this.clock.now();
		const isCheckDue = this.isMixed && now - this.historyCheckedAt >= HISTORY_CHECK_INTERVAL_MS;
		if (!this.fleet.isHistoryWriter() || (!this.history.needsWrite && !isCheckDue)) {
			return Effect.succeed(true);
		}
		this.historyCheckedAt = now;
		return this.succeeds('version-history-failed', this.writeHistory());
	}

	/** Runs a call to the store, and logs its failure as an event. */
	private succeeds(event: string, call: Effect.Effect<void, StoreError>): Effect.Effect<boolean> {
		return Effect.map(Effect.result(call), (result) => {
			if (result._tag === 'Failure') {
				this.log.write(event, { ...result.failure });
			}
			return result._tag === 'Success';
		});
	}

	private writeHistory(): Effect.Effect<void, StoreError> {
		const self = this;
		return Effect.gen(function* () {
			let current = yield* self.store.get(HISTORY_KEY);
			for (;;) {
				self.history.merge(current === undefined ? {} : decodeHistory(current.value), self.unixMs());
				if (!self.history.needsWrite) {
					return;
				}
				self.history.prune(self.unixMs());
				const stored = self.history.toStored();
				const result = yield* self.store.compareAndSwap(HISTORY_KEY, current?.revision ?? 0, encodeHistory(stored));
				if (result.swapped) {
					self.history.merge(stored, self.unixMs());
					self.log.write('version-history-written', { versions: JSON.stringify(stored) });
					return;
				}
				current = result.current;
			}
		});
	}

	private writeRecord(value: Uint8Array): Effect.Effect<void, StoreError> {
		const self = this;
		return Effect.gen(function* () {
			const now = self.clock.now();
			if (self.lease === undefined || now - self.lease.grantedAt >= LEASE_RENEWAL_MS) {
				self.lease = { id: yield* self.store.grantLease(LEASE_SECONDS), grantedAt: now };
			}
			for (;;) {
				const result = yield* self.store.compareAndSwap(self.recordKey, self.revision, value, self.lease.id);
				self.revision = result.swapped ? result.revision : (result.current?.revision ?? 0);
				if (result.swapped) {
					return;
				}
			}
		});
	}
}
