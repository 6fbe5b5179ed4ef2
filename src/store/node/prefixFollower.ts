import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/lifecycle.js';
import { Emitter } from '../../base/common/event.js';
import { SMALL_FLEET_ROUTERS } from '../../base/common/fleetSize.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { KeyValue, StoreError } from '../common/keyValueStore.js';
import type { ChangeSet, IRevisionedStore, Snapshot } from '../common/revisionedStore.js';

/** Longest wait of one watch. A connection that has gone silent is found after it, and each watch is paid for. */
const WATCH_WAIT_MS = 2_500;

/**
 * In a larger fleet a few routers read for all, and each watch waits up to this long, less a random part of it. Some
 * watch of the fleet ends within a second at any time, and the others learn from it what theirs have missed.
 */
const LARGE_FLEET_WATCH_WAIT_MS = 5_000;

/** Interval at which a router that does not read asks itself whether it has to. */
const REST_CHECK_MS = 250;

/** Pause after changes, in which further ones gather, for each router of a larger fleet. */
const GATHERING_PER_ROUTER_MS = 4;

/** Pause before the first repetition of a failed call; it doubles with each failure. */
const FIRST_PAUSE_MS = 60;
const LONGEST_PAUSE_MS = 500;

/** Part of a pause that is random, so that routers do not return together. */
const JITTER = 0.5;

/** Interval at which a new router looks whether a peer has told it what the store holds. */
const PATIENCE_CHECK_MS = 20;

/** Longest pause of a router that cannot read the store while another one can and tells it of changes. */
const TOLD_PAUSE_MS = 2_000;

/** What a follower knows of the fleet. */
export interface FollowerFleet {
	/** Routers that serve. */
	readonly routers: () => number;
	/** Whether this router reads the store; otherwise it learns from peers what the store holds. */
	readonly isReader: () => boolean;
	/** Whether another router reads the store. */
	readonly isReadByPeers: () => boolean;
	/** Milliseconds for which this router waits after its start for a peer that knows what the store holds. */
	readonly peerSnapshotWaitMs: () => number;
}

const ALONE: FollowerFleet = {
	routers: () => 1,
	isReader: () => true,
	isReadByPeers: () => false,
	peerSnapshotWaitMs: () => 0,
};

/** Knows all values below one prefix of the store. */
export class PrefixFollower extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<ReadonlyMap<string, KeyValue>>());
	private readonly contactEmitter = this.register(Emitter.create<boolean>());
	private entries = new Map<string, KeyValue>();
	private knownRevision: number | undefined;
	private lastChange = 0;
	private failures = 0;
	private connected = false;
	private connectedAt = 0;
	private historyLost = false;

	/** Fires when a value was written or removed. */
	public readonly onDidChange = this.changeEmitter.event;
	/** Fires with false when the store cannot be read any more, and with true when it can be again. */
	public readonly onDidChangeContact = this.contactEmitter.event;

	private constructor(
		public readonly prefix: string,
		private readonly keyValues: IRevisionedStore,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
		private readonly fleet: FollowerFleet,
		private readonly random: () => number,
	) {
		super();
	}

	/**
	 * @param prefix start of the keys
	 * @param store to read from
	 * @param clock measures how long the store has been read
	 * @param log receives changes of contact
	 * @param fleet the routers
	 * @param random numbers from 0 to 1, which spread repeated calls
	 * @returns a follower that knows nothing yet
	 */
	public static create(
		prefix: string,
		store: IRevisionedStore,
		clock: IClock,
		log: IDecisionLog,
		fleet: FollowerFleet = ALONE,
		random: () => number = Math.random,
	): PrefixFollower {
		return new PrefixFollower(prefix, store, clock, log, fleet, random);
	}

	/** Whether the last call to the store was answered. */
	public get isConnected(): boolean {
		return this.connected;
	}

	/** Monotonic milliseconds since which every call was answered; undefined while the store cannot be read. */
	public get contactSince(): number | undefined {
		return this.connected ? this.connectedAt : undefined;
	}

	/** Revision of the newest change that is known; 0 when nothing is known. */
	public get lastChangeRevision(): number {
		return this.lastChange;
	}

	/** @returns what is known, or undefined before the first read */
	public snapshot(): Snapshot | undefined {
		return this.knownRevision === undefined
			? undefined
			: { entries: [...this.entries.values()], revision: this.knownRevision };
	}

	/**
	 * Takes over a snapshot that another router read.
	 *
	 * @param snapshot of the same prefix
	 * @returns whether it was newer than what is known
	 */
	public apply(snapshot: Snapshot): boolean {
		if (this.knownRevision !== undefined && snapshot.revision <= this.knownRevision) {
			return false;
		}
		const before = this.entries;
		this.entries = new Map(snapshot.entries.map((entry) => [entry.key, entry]));
		this.knownRevision = snapshot.revision;
		const changed = before.size !== this.entries.size || snapshot.entries.some(isNewerThan(before));
		if (changed) {
			this.lastChange = Math.max(this.lastChange, ...snapshot.entries.map(({ revision }) => revision));
			// A removal leaves no entry that could tell its revision.
			if (before.size > 0 && [...before.keys()].some((key) => !this.entries.has(key))) {
				this.lastChange = snapshot.revision;
			}
			this.fireChange();
		}
		return true;
	}

	/** Reads and watches until interrupted. */
	public run(): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			const patienceMs = self.fleet.peerSnapshotWaitMs();
			for (let waitedMs = 0; self.knownRevision === undefined && waitedMs < patienceMs; waitedMs += PATIENCE_CHECK_MS) {
				yield* Effect.sleep(PATIENCE_CHECK_MS);
			}
			for (;;) {
				if (self.knownRevision !== undefined && !self.fleet.isReader()) {
					self.rest();
					yield* Effect.sleep(REST_CHECK_MS * (1 + JITTER * self.random()));
					continue;
				}
				const result = yield* Effect.result(self.step());
				if (result._tag === 'Success') {
					self.noteSuccess();
					if (result.success === 'changed' && self.fleet.routers() > SMALL_FLEET_ROUTERS) {
						yield* Effect.sleep(self.fleet.routers() * GATHERING_PER_ROUTER_MS);
					}
					continue;
				}
				const pauseMs = self.noteFailure(result.failure);
				yield* Effect.sleep(pauseMs);
			}
		});
	}

	private step(): Effect.Effect<'changed' | 'unchanged', StoreError> {
		const revision = this.knownRevision;
		if (revision === undefined || this.historyLost) {
			return Effect.map(this.keyValues.readAll(this.prefix), (snapshot) => {
				this.historyLost = false;
				this.apply(snapshot);
				return 'changed';
			});
		}
		return Effect.map(this.keyValues.waitForChanges(this.prefix, revision, this.watchWaitMs()), (result) => {
			if (result === 'history-lost') {
				this.historyLost = true;
				this.log.write('store-history-lost', { prefix: this.prefix, revision });
				return 'unchanged';
			}
			this.applyChanges(result);
			return result.changes.length > 0 ? 'changed' : 'unchanged';
		});
	}

	private watchWaitMs(): number {
		return this.fleet.routers() <= SMALL_FLEET_ROUTERS
			? WATCH_WAIT_MS
			: Math.round(LARGE_FLEET_WATCH_WAIT_MS * (1 - JITTER * this.random()));
	}

	private rest(): void {
		if (this.connected) {
			this.connected = false;
			this.log.write('store-reading-left', { prefix: this.prefix, revision: this.knownRevision });
			this.contactEmitter.fire(false);
		}
	}

	private applyChanges({ changes, revision }: ChangeSet): void {
		for (const change of changes) {
			if (change.value === undefined) {
				this.entries.delete(change.key);
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

	/** An entry that somebody cannot deal with must not end the following of all others. */
	private fireChange(): void {
		try {
			this.changeEmitter.fire(this.entries);
		} catch (error) {
			this.log.write('change-not-applied', {
				prefix: this.prefix,
				revision: this.lastChange,
				reason: error instanceof Error ? error.stack : String(error),
			});
		}
	}

	private noteSuccess(): void {
		this.failures = 0;
		if (!this.connected) {
			this.connected = true;
			this.connectedAt = this.clock.now();
			this.log.write('store-regained', { prefix: this.prefix, revision: this.knownRevision });
			this.contactEmitter.fire(true);
		}
	}

	private noteFailure(failure: StoreError): number {
		this.failures++;
		if (this.connected) {
			this.connected = false;
			this.log.write('store-lost', { prefix: this.prefix, revision: this.knownRevision, reason: failure.message });
			this.contactEmitter.fire(false);
		}
		const longestMs = this.fleet.isReadByPeers() ? TOLD_PAUSE_MS : LONGEST_PAUSE_MS;
		const pauseMs = Math.min(longestMs, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
		return pauseMs * (1 - JITTER * this.random());
	}
}

function isNewerThan(known: ReadonlyMap<string, KeyValue>): (entry: KeyValue) => boolean {
	return ({ key, revision }) => known.get(key)?.revision !== revision;
}
