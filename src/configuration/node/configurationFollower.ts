import { Duration, Effect, Latch, Result } from 'effect';
import { Emitter, type Event } from '../../base/common/event.js';
import { Disposable } from '../../base/common/lifecycle.js';
import { rendezvous } from '../../base/common/shortKey.js';
import { getLogger } from '../../base/node/log.js';
import type { IKeyValueStore, KeyValue } from '../../store/common/keyValueStore.js';
import { HEAD_KEY } from '../common/configurationHead.js';
import type { IConfigurationService } from '../common/configurationService.js';
import type { Configuration } from '../common/model.js';
import { decodeDocument, encodeDocument } from './configurationDocument.js';
import {
	reuseCachedParts,
	loadSnapshot,
	type LoadError,
	type PartCache,
	type LoadedParts,
} from './configurationSnapshot.js';

const log = getLogger('configuration');

/** Number of routers per failure domain that watch the head. */
const WATCHERS_PER_DOMAIN = 2;
/** Mean interval at which each router polls the revision of the head. */
const POLL_INTERVAL_MS = 2_000;
/** Maximum relative deviation of a delay, so that routers do not call the store all at once. */
const JITTER_FRACTION = 0.25;
/** Routers that learn of a version from a heartbeat spread their reads over this time. */
const PEER_READ_JITTER_MS = 200;
/** Time for the store to respond before the configuration is requested from a peer that has a newer version. */
const STORE_TIMEOUT_MS = 750;
const RETRY_DELAY_MS = 500;
const ROLE_CHECK_INTERVAL_MS = 1_000;

/** Name and failure domain of a router, which determine the watchers. */
export interface RouterReference {
	readonly name: string;
	readonly failureDomain: string;
}

/** Dependencies and settings of a configuration follower. */
export interface ConfigurationFollowerOptions {
	readonly store: IKeyValueStore;
	readonly self: RouterReference;
	/** @returns the live routers, with or without this one */
	readonly liveRouters: () => readonly RouterReference[];
	/**
	 * Fetches the active configuration of a peer.
	 *
	 * @param peer name of the peer
	 * @param haveVersion the version that this router has; 0 for none
	 * @returns the document; empty or undefined when the peer has no newer version
	 */
	readonly fetchDocument: (
		peer: string,
		haveVersion: number,
	) => Effect.Effect<Uint8Array | undefined, { readonly message: string }>;
	/** @returns a number from 0 up to, but not including, 1 */
	readonly random?: () => number;
	/** Mean time between polls in milliseconds. */
	readonly pollMs?: number;
}

/**
 * Keeps this router's configuration up to date from the store and from peers. Versions only increase.
 *
 * In each failure domain, the first two routers by rendezvous hash watch the head in the store. The others learn of new
 * versions from the heartbeats of peers. Every router also polls the revision of the head.
 */
export class ConfigurationFollower extends Disposable implements IConfigurationService {
	private readonly changeEmitter = this.register(Emitter.create<Configuration>());
	private readonly refreshRequested = Latch.makeUnsafe(false);
	private readonly peerVersions = new Map<string, number>();
	private readonly random: () => number;
	private configuration: Configuration | undefined;
	private cache: PartCache = new Map();
	private readonly loadedParts: LoadedParts = new Map();
	private document: { readonly version: number; readonly bytes: Uint8Array } | undefined;
	/** The newest head that a watch delivered and that has not been loaded yet. */
	private watchedHead: KeyValue | undefined;
	/** Store revision of the last head that was loaded; 0 before the first. */
	private headRevision = 0;
	private lastProblem: string | undefined;

	public readonly onDidChange: Event<Configuration> = this.changeEmitter.event;

	private constructor(private readonly options: ConfigurationFollowerOptions) {
		super();
		this.random = options.random ?? Math.random;
	}

	/**
	 * @param options dependencies and settings
	 * @returns a follower without configuration; {@link run} starts it
	 */
	public static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
		return new ConfigurationFollower(options);
	}

	public get current(): Configuration | undefined {
		return this.configuration;
	}

	/** Version of the active configuration; 0 before the first. */
	public get version(): number {
		return this.configuration?.version ?? 0;
	}

	/** Whether this router is one of those that watch the head. */
	public get isWatcher(): boolean {
		const { self, liveRouters } = this.options;
		const neighbours = liveRouters().filter((router) => router.failureDomain === self.failureDomain);
		let candidates = [...new Set([self.name, ...neighbours.map(({ name }) => name)])];
		for (let rank = 0; rank < WATCHERS_PER_DOMAIN && candidates.length > 0; rank++) {
			const watcher = rendezvous(HEAD_KEY, candidates);
			if (watcher === self.name) {
				return true;
			}
			candidates = candidates.filter((name) => name !== watcher);
		}
		return false;
	}

	/**
	 * Records the configuration version that a peer reported.
	 *
	 * @param peer name of the peer
	 * @param version the version in its heartbeat
	 */
	public recordPeerVersion(peer: string, version: number): void {
		const isNewer = version > this.version && version > this.highestPeerVersion();
		this.peerVersions.set(peer, version);
		if (isNewer) {
			this.refreshRequested.openUnsafe();
		}
	}

	/**
	 * Removes a peer that is gone.
	 *
	 * @param peer name of the peer
	 */
	public removePeer(peer: string): void {
		this.peerVersions.delete(peer);
	}

	/**
	 * Serves the configuration to a peer.
	 *
	 * @param haveVersion the version that the peer has; 0 for none
	 * @returns the active version and its document; the document is empty when the peer has that version or a newer one
	 */
	public documentFor(haveVersion: number): { readonly version: number; readonly document: Uint8Array } {
		const { configuration } = this;
		if (configuration === undefined || configuration.version <= haveVersion) {
			return { version: this.version, document: new Uint8Array() };
		}
		if (this.document?.version !== configuration.version) {
			this.document = { version: configuration.version, bytes: encodeDocument(configuration) };
		}
		return { version: configuration.version, document: this.document.bytes };
	}

	/** Keeps the configuration up to date until interrupted. */
	public run(): Effect.Effect<never> {
		return Effect.gen({ self: this }, function* () {
			yield* Effect.forkChild(this.watchHead());
			for (;;) {
				this.refreshRequested.closeUnsafe();
				const upToDate = yield* this.refresh();
				const delayMs = upToDate ? (this.options.pollMs ?? POLL_INTERVAL_MS) : RETRY_DELAY_MS;
				yield* Effect.timeoutOption(this.refreshRequested.await, this.jittered(delayMs));
			}
		});
	}

	/** @returns whether this router has the highest version in the store and among its peers */
	private refresh(): Effect.Effect<boolean> {
		return Effect.gen({ self: this }, function* () {
			const isBehind = this.highestPeerVersion() > this.version;
			if (isBehind && this.watchedHead === undefined && this.version > 0) {
				yield* Effect.sleep(this.random() * PEER_READ_JITTER_MS);
			}
			// A store that does not respond must not delay a version that a peer already has.
			const storeTimeout = Effect.andThen(
				isBehind ? Effect.void : this.refreshRequested.await,
				Effect.sleep(STORE_TIMEOUT_MS),
			);
			const fromPeers = Effect.flatMap(Effect.andThen(storeTimeout, this.fetchFromPeers()), (accepted) =>
				accepted ? Effect.succeed(false) : Effect.never,
			);
			const result = yield* Effect.result(Effect.raceFirst(Effect.as(this.readStore(), true), fromPeers));
			this.reportProblem(Result.isFailure(result) ? result.failure.message : undefined);
			if (Result.isFailure(result) && this.highestPeerVersion() > this.version) {
				yield* this.fetchFromPeers();
			}
			return Result.isSuccess(result) && result.success && this.highestPeerVersion() <= this.version;
		});
	}

	private readStore(): Effect.Effect<void, LoadError> {
		return Effect.gen({ self: this }, function* () {
			const watchedHead = this.watchedHead;
			this.watchedHead = undefined;
			if (watchedHead === undefined && this.headRevision > 0 && this.highestPeerVersion() <= this.version) {
				const head = yield* Effect.mapError(
					this.options.store.get(HEAD_KEY, { withoutValue: true }),
					({ message }): LoadError => ({ kind: 'unavailable', message }),
				);
				if (head?.revision === this.headRevision) {
					return;
				}
			}
			const snapshot = yield* loadSnapshot(this.options.store, this.cache, watchedHead, this.loadedParts);
			this.loadedParts.clear();
			this.headRevision = snapshot.headRevision;
			this.accept(snapshot.configuration, snapshot.cache, 'the store');
		});
	}

	/** @returns whether a newer version was accepted from a peer */
	private fetchFromPeers(): Effect.Effect<boolean> {
		return Effect.gen({ self: this }, function* () {
			const newer = [...this.peerVersions].filter(([, version]) => version > this.version);
			newer.sort((left, right) => right[1] - left[1]);
			for (const [peer] of newer) {
				const fetched = yield* Effect.result(this.options.fetchDocument(peer, this.version));
				const document = Result.isSuccess(fetched) ? fetched.success : undefined;
				if (document === undefined || document.length === 0) {
					continue;
				}
				const decoded = decodeDocument(document);
				if (decoded.isErr) {
					this.reportProblem(`${peer} sent a configuration that cannot be used: ${decoded.error}`);
					continue;
				}
				const reused = reuseCachedParts(decoded.value, this.cache);
				this.accept(reused.configuration, reused.cache, peer);
				return true;
			}
			return false;
		});
	}

	private accept(configuration: Configuration, cache: PartCache, source: string): void {
		if (configuration.version <= this.version) {
			if (configuration.version < this.version) {
				log.warn(`Ignored version ${configuration.version} from ${source}; version ${this.version} is active.`);
			}
			return;
		}
		this.configuration = configuration;
		this.cache = cache;
		this.document = undefined;
		log.info(`Version ${configuration.version} from ${source} is active.`);
		try {
			this.changeEmitter.fire(configuration);
		} catch (error) {
			// An exception in a listener must not end the update loop, which would leave this router at an outdated version.
			log.error(`A listener failed for version ${configuration.version}: ${String(error)}.`);
		}
	}

	private watchHead(): Effect.Effect<never> {
		return Effect.gen({ self: this }, function* () {
			for (;;) {
				if (this.isWatcher) {
					const start = this.headRevision === 0 ? undefined : this.headRevision + 1;
					const watch = this.options.store.watch(HEAD_KEY, (head) => this.handleWatchedHead(head), start);
					yield* Effect.result(Effect.raceFirst(watch, this.waitUntilNotWatcher()));
				}
				yield* Effect.sleep(this.jittered(ROLE_CHECK_INTERVAL_MS));
			}
		});
	}

	private waitUntilNotWatcher(): Effect.Effect<void> {
		return Effect.gen({ self: this }, function* () {
			while (this.isWatcher) {
				yield* Effect.sleep(ROLE_CHECK_INTERVAL_MS);
			}
		});
	}

	private handleWatchedHead(head: KeyValue | undefined): void {
		if (head !== undefined && head.revision > Math.max(this.headRevision, this.watchedHead?.revision ?? 0)) {
			this.watchedHead = head;
			this.refreshRequested.openUnsafe();
		}
	}

	private highestPeerVersion(): number {
		return Math.max(0, ...this.peerVersions.values());
	}

	private jittered(milliseconds: number): Duration.Duration {
		return Duration.millis(milliseconds * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * this.random()));
	}

	private reportProblem(problem: string | undefined): void {
		if (problem !== undefined && problem !== this.lastProblem) {
			log.warn(`The configuration cannot be read: ${problem}.`);
		}
		this.lastProblem = problem;
	}
}
