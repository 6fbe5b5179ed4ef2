import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { Emitter } from '../../base/common/event.js';
import { MAXIMUM_SMALL_FLEET_ROUTERS } from '../../base/common/fleetSize.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { KeyValue, StoreError } from '../common/keyValueStore.js';
import {
	type ChangeSet,
	type IRevisionedStore,
	REAPPEARANCE_PERIOD_MS,
	type Snapshot,
} from '../common/revisionedStore.js';
import { eraOf, formatRevision } from '../common/storeRevision.js';

/**
 * Maximum duration of a watch call. Connections may go silent together without being closed, and a router notices only when a
 * watch does not end in time. With the time allowed for the response, a retry and a new connection, this leaves half of the
 * time within which a router must act on a change.
 */
const WATCH_WAIT_MS = 1_000;

/**
 * The same for a few of the readers of a larger fleet, where some routers read for all. They notice a silence in time for all
 * routers, which receive changes from each other.
 */
const FREQUENT_WATCH_WAIT_MS = 1_500;

/** The same for the other readers of a larger fleet; a random part is subtracted, so that their watches do not end together. */
const LARGE_FLEET_WATCH_WAIT_MS = 5_000;

/** Interval at which a router that does not read the store checks whether it has to. */
const READER_CHECK_INTERVAL_MS = 250;

/** Delay per router of a larger fleet after a change, so that one call returns several changes. */
const BATCH_DELAY_PER_ROUTER_MS = 4;

/** Delay before the first retry of a failed call; it doubles with each failure up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 60;
const MAXIMUM_RETRY_DELAY_MS = 500;

/** Random fraction of a delay, so that routers do not retry at the same time. */
const JITTER = 0.5;

/** Interval at which a new router checks whether a peer has sent it a snapshot. */
const PEER_SNAPSHOT_CHECK_INTERVAL_MS = 20;

/** Maximum retry delay of a router that cannot read the store while another one can and sends it the changes. */
const MAXIMUM_INDIRECT_RETRY_DELAY_MS = 2_000;

/** State of the fleet that decides whether and how often this router reads the store. */
export interface FollowerFleet {
	/** Number of routers in service. */
	readonly routers: () => number;
	/** Whether this router reads the store; otherwise its peers send it the content. */
	readonly isReader: () => boolean;
	/** Whether this router is one of the readers that watch the store at shorter intervals. */
	readonly isFrequentReader: () => boolean;
	/** Whether another router reads the store. */
	readonly isStoreReadByPeers: () => boolean;
	/** Milliseconds for which this router waits after its start for a snapshot from a peer. */
	readonly peerSnapshotWaitMs: () => number;
}

const SINGLE_ROUTER_FLEET: FollowerFleet = {
	routers: () => 1,
	isReader: () => true,
	isFrequentReader: () => true,
	isStoreReadByPeers: () => false,
	peerSnapshotWaitMs: () => 0,
};

/** Keeps a local copy of all values below a key prefix of the store. */
export class PrefixFollower extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<ReadonlyMap<string, KeyValue>>());
	private readonly contactEmitter = this.register(Emitter.create<boolean>());
	private entries = new Map<string, KeyValue>();
	/** Entries that a restored store lacks and that may be written again. */
	private readonly retained = new Map<string, KeyValue>();
	private retentionTimer: NodeJS.Timeout | undefined;
	private knownRevision: number | undefined;
	private lastChange = 0;
	private failures = 0;
	private connected = false;
	private connectedAt = 0;
	private historyLost = false;

	/** Fires when a value was written or removed. */
	public readonly onDidChange = this.changeEmitter.event;
	/** Fires with false when the store becomes unreadable, and with true when it is readable again. */
	public readonly onDidChangeStoreContact = this.contactEmitter.event;

	private constructor(
		public readonly prefix: string,
		private readonly keyValues: IRevisionedStore,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
		private readonly fleet: FollowerFleet,
		private readonly random: () => number,
	) {
		super();
		this.register(toDisposable(() => clearTimeout(this.retentionTimer)));
	}

	/**
	 * @param prefix start of the keys
	 * @param store to read from
	 * @param clock measures how long the store has been readable
	 * @param log receives an event whenever the store becomes readable or unreadable
	 * @param fleet state of the fleet
	 * @param random numbers from 0 to 1, for the random part of delays
	 * @returns a follower without values
	 */
	public static create(
		prefix: string,
		store: IRevisionedStore,
		clock: IClock,
		log: IDecisionLog,
		fleet: FollowerFleet = SINGLE_ROUTER_FLEET,
		random: () => number = Math.random,
	): PrefixFollower {
		return new PrefixFollower(prefix, store, clock, log, fleet, random);
	}

	/** Whether the last call to the store succeeded. */
	public get isConnected(): boolean {
		return this.connected;
	}

	/** Monotonic time in milliseconds since which every call has succeeded; undefined while the store is unreadable. */
	public get contactSince(): number | undefined {
		return this.connected ? this.connectedAt : undefined;
	}

	/** Revision of the latest known change; 0 when no change is known. */
	public get lastChangeRevision(): number {
		return this.lastChange;
	}

	/** @returns all known values, or undefined before the first read */
	public snapshot(): Snapshot | undefined {
		return this.knownRevision === undefined
			? undefined
			: { entries: [...this.entries.values()], revision: this.knownRevision };
	}

	/**
	 * Replaces the local copy by a snapshot that another router has read, if that is newer.
	 *
	 * @param snapshot of the same prefix
	 * @returns whether the snapshot was newer than the local copy
	 */
	public apply(snapshot: Snapshot): boolean {
		if (this.knownRevision !== undefined && snapshot.revision <= this.knownRevision) {
			this.log.write('snapshot-ignored', {
				prefix: this.prefix,
				revision: formatRevision(snapshot.revision),
				known: formatRevision(this.knownRevision),
			});
			return false;
		}
		const previous = this.entries;
		const isRestored = this.knownRevision !== undefined && eraOf(snapshot.revision) > eraOf(this.knownRevision);
		this.entries = new Map(snapshot.entries.map((entry) => [entry.key, entry]));
		if (isRestored) {
			this.retainMissing(previous);
		}
		this.knownRevision = snapshot.revision;
		const changed = previous.size !== this.entries.size || snapshot.entries.some(differsFrom(previous));
		if (changed) {
			this.lastChange = Math.max(this.lastChange, ...snapshot.entries.map(({ revision }) => revision));
			// A removed key has no entry with a revision, so the snapshot's revision is taken for the change.
			if (previous.size > 0 && [...previous.keys()].some((key) => !this.entries.has(key))) {
				this.lastChange = snapshot.revision;
			}
			this.fireChange();
		}
		return true;
	}

	/**
	 * Keeps the entries that were known before a restore and are missing after it until they can have been written again,
	 * since they are lost rather than removed. They are not part of the snapshots for peers, which keep their own.
	 */
	private retainMissing(previous: ReadonlyMap<string, KeyValue>): void {
		previous.forEach((entry, key) => this.retained.set(key, entry));
		this.entries.forEach((_, key) => this.retained.delete(key));
		clearTimeout(this.retentionTimer);
		this.retentionTimer = setTimeout(() => {
			const missing = [...this.retained.keys()].filter((key) => !this.entries.has(key));
			this.retained.clear();
			if (missing.length > 0) {
				this.log.write('entries-not-restored', { prefix: this.prefix, keys: missing.join(' ') });
				this.fireChange();
			}
		}, REAPPEARANCE_PERIOD_MS);
	}

	/** Reads and watches the prefix until interrupted. */
	public run(): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			const snapshotWaitMs = self.fleet.peerSnapshotWaitMs();
			for (
				let waitedMs = 0;
				self.knownRevision === undefined && waitedMs < snapshotWaitMs;
				waitedMs += PEER_SNAPSHOT_CHECK_INTERVAL_MS
			) {
				yield* Effect.sleep(PEER_SNAPSHOT_CHECK_INTERVAL_MS);
			}
			for (;;) {
				if (self.knownRevision !== undefined && !self.fleet.isReader()) {
					self.rest();
					yield* Effect.sleep(READER_CHECK_INTERVAL_MS * (1 + JITTER * self.random()));
					continue;
				}
				const result = yield* Effect.result(self.readOrWatch());
				if (result._tag === 'Success') {
					self.recordSuccess();
					if (result.success === 'changed' && self.fleet.routers() > MAXIMUM_SMALL_FLEET_ROUTERS) {
						yield* Effect.sleep(self.fleet.routers() * BATCH_DELAY_PER_ROUTER_MS);
					}
					continue;
				}
				const delayMs = self.recordFailure(result.failure);
				yield* Effect.sleep(delayMs);
			}
		});
	}

	private readOrWatch(): Effect.Effect<'changed' | 'unchanged', StoreError> {
		const revision = this.knownRevision;
		if (revision === undefined || this.historyLost) {
			return Effect.flatMap(this.keyValues.readAll(this.prefix), (snapshot) => {
				this.apply(snapshot);
				if (snapshot.revision < (revision ?? 0)) {
					return Effect.fail<StoreError>({ outcome: 'no-effect', message: 'the store returned an older state' });
				}
				this.historyLost = false;
				return Effect.succeed('changed' as const);
			});
		}
		return Effect.map(this.keyValues.waitForChanges(this.prefix, revision, this.watchWaitMs()), (result) => {
			if (result === 'history-lost') {
				this.historyLost = true;
				this.log.write('store-history-lost', { prefix: this.prefix, revision: formatRevision(revision) });
				return 'unchanged';
			}
			this.applyChanges(result);
			return result.changes.length > 0 ? 'changed' : 'unchanged';
		});
	}

	private watchWaitMs(): number {
		if (this.fleet.routers() <= MAXIMUM_SMALL_FLEET_ROUTERS) {
			return WATCH_WAIT_MS;
		}
		return this.fleet.isFrequentReader()
			? FREQUENT_WATCH_WAIT_MS
			: Math.round(LARGE_FLEET_WATCH_WAIT_MS * (1 - JITTER * this.random()));
	}

	private rest(): void {
		if (this.connected) {
			this.connected = false;
			this.log.write('store-reading-left', { prefix: this.prefix, revision: formatRevision(this.knownRevision) });
			this.contactEmitter.fire(false);
		}
	}

	private applyChanges({ changes: received, revision }: ChangeSet): void {
		// A snapshot of a peer that arrived during the watch contains the changes up to its revision.
		const changes = received.filter((change) => change.revision > (this.knownRevision ?? 0));
		for (const change of changes) {
			if (change.value === undefined) {
				this.entries.delete(change.key);
				this.retained.delete(change.key);
			} else {
				this.entries.set(change.key, { key: change.key, revision: change.revision, value: change.value });
			}
			this.lastChange = Math.max(this.lastChange, change.revision);
		}
		this.knownRevision = Math.max(this.knownRevision ?? 0, revision);
		if (changes.length > 0) {
			this.fireChange();
		}
	}

	/** An exception in a listener is logged only, since a single invalid entry must not end the watch. */
	private fireChange(): void {
		try {
			this.changeEmitter.fire(this.retained.size === 0 ? this.entries : new Map([...this.retained, ...this.entries]));
		} catch (error) {
			this.log.write('change-not-applied', {
				prefix: this.prefix,
				revision: formatRevision(this.lastChange),
				reason: error instanceof Error ? error.stack : String(error),
			});
		}
	}

	private recordSuccess(): void {
		this.failures = 0;
		if (!this.connected) {
			this.connected = true;
			this.connectedAt = this.clock.now();
			this.log.write('store-regained', { prefix: this.prefix, revision: formatRevision(this.knownRevision) });
			this.contactEmitter.fire(true);
		}
	}

	private recordFailure(failure: StoreError): number {
		this.failures++;
		if (this.connected) {
			this.connected = false;
			this.log.write('store-lost', {
				prefix: this.prefix,
				revision: formatRevision(this.knownRevision),
				reason: failure.message,
			});
			this.contactEmitter.fire(false);
		}
		const maximumDelayMs = this.fleet.isStoreReadByPeers() ? MAXIMUM_INDIRECT_RETRY_DELAY_MS : MAXIMUM_RETRY_DELAY_MS;
		const delayMs = Math.min(maximumDelayMs, INITIAL_RETRY_DELAY_MS * 2 ** (this.failures - 1));
		return delayMs * (1 - JITTER * this.random());
	}
}

function differsFrom(known: ReadonlyMap<string, KeyValue>): (entry: KeyValue) => boolean {
	return ({ key, revision }) => known.get(key)?.revision !== revision;
}
