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
/** Mean time between reads of the head's revision by each router. */
const POLL_MS = 2_000;
/** Fraction by which waits vary, so that routers do not call the store in step. */
const JITTER = 0.25;
/** Routers that hear of a version through a heartbeat spread their reads over this time. */
const NOTICE_SPREAD_MS = 200;
/** Time for the store to answer when a peer is known to have a newer version. */
const STORE_PATIENCE_MS = 750;
const RETRY_MS = 500;
const ROLE_CHECK_MS = 1_000;

/** A router as far as the configuration slice needs to know it. */
export interface RouterReference {
	readonly name: string;
	readonly failureDomain: string;
}

/** What the follower needs from the other slices. */
export interface ConfigurationFollowerOptions {
	readonly store: IKeyValueStore;
	readonly self: RouterReference;
	/** @returns the live routers, with or without this one */
	readonly liveRouters: () => readonly RouterReference[];
	/**
	 * Fetches the configuration in force from a peer.
	 *
	 * @param peer name of the router to ask
	 * @param haveVersion the version that this router has; 0 for none
	 * @returns the document, empty or undefined when the peer has nothing newer
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
 * Keeps this router's configuration up to date from the store and from peers. Versions only go up.
 *
 * The first two routers of each failure domain by rendezvous hash watch the head in the store. The others hear of a new
 * version through peers' heartbeats. Every router also polls the head's revision.
 */
export class ConfigurationFollower extends Disposable implements IConfigurationService {
	private readonly changed = this.register(Emitter.create<Configuration>());
	private readonly wake = Latch.makeUnsafe(false);
	private readonly heard = new Map<string, number>();
	private readonly random: () => number;
	private configuration: Configuration | undefined;
	private cache: PartCache = new Map();
	private readonly progress: LoadedParts = new Map();
	private document: { readonly version: number; readonly bytes: Uint8Array } | undefined;
	/** The newest head that a watch delivered and that was not read yet. */
	private watchedHead: KeyValue | undefined;
	/** Revision of the last head that was read; 0 before the first. */
	private headRevision = 0;
	private lastProblem: string | undefined;

	public readonly onDidChange: Event<Configuration> = this.changed.event;

	private constructor(private readonly options: ConfigurationFollowerOptions) {
		super();
		this.random = options.random ?? Math.random;
	}

	/**
	 * @param options the store, this router and the functions that reach its peers
	 * @returns a follower without configuration; {@link run} starts it
	 */
	public static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
		return new ConfigurationFollower(options);
	}

	public get current(): Configuration | undefined {
		return this.configuration;
	}

	/** Version in force; 0 before the first. */
	public get version(): number {
		return this.configuration?.version ?? 0;
	}

	/** Whether this router is one of those that watch the head. */
	public get isWatcher(): boolean {
		const { self, liveRouters } = this.options;
		const neighbours = liveRouters().filter((router) => router.failureDomain === self.failureDomain);
		let candidates = [...new Set([self.name, ...neighbours.map(({ name }) => name)])];
		for (let place = 0; place < WATCHERS_PER_DOMAIN && candidates.length > 0; place++) {
			const watcher = rendezvous(HEAD_KEY, candidates);
			if (watcher === self.name) {
				return true;
			}
			candidates = candidates.filter((name) => name !== watcher);
		}
		return false;
	}

	/**
	 * Takes note of the version that a peer has in force.
	 *
	 * @param peer name of the peer
	 * @param version the version in its heartbeat
	 */
	public recordPeerVersion(peer: string, version: number): void {
		const news = version > this.version && version > this.highestHeard();
		this.heard.set(peer, version);
		if (news) {
			this.wake.openUnsafe();
		}
	}

	/**
	 * Forgets a peer that is gone.
	 *
	 * @param peer name of the peer
	 */
	public removePeer(peer: string): void {
		this.heard.delete(peer);
	}

	/**
	 * Serves the configuration to a peer.
	 *
	 * @param haveVersion the version that the peer has; 0 for none
	 * @returns version and document in force; the document is empty when the peer has that version or a newer one
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

	/** Follows the configuration until interrupted. */
	public run(): Effect.Effect<never> {
		return Effect.gen({ self: this }, function* () {
			yield* Effect.forkChild(this.watchHead());
			for (;;) {
				this.wake.closeUnsafe();
				const upToDate = yield* this.refresh();
				const wait = upToDate ? (this.options.pollMs ?? POLL_MS) : RETRY_MS;
				yield* Effect.timeoutOption(this.wake.await, this.jittered(wait));
			}
		});
	}

	/** @returns whether this router has the highest version that the store and the peers know */
	private refresh(): Effect.Effect<boolean> {
		return Effect.gen({ self: this }, function* () {
			const behind = this.highestHeard() > this.version;
			if (behind && this.watchedHead === undefined && this.version > 0) {
				yield* Effect.sleep(this.random() * NOTICE_SPREAD_MS);
			}
			// A store that does not answer must not hold up a version that a peer already has.
			const patience = Effect.andThen(behind ? Effect.void : this.wake.await, Effect.sleep(STORE_PATIENCE_MS));
			const fromPeers = Effect.flatMap(Effect.andThen(patience, this.askPeers()), (accepted) =>
				accepted ? Effect.succeed(false) : Effect.never,
			);
			const answer = yield* Effect.result(Effect.raceFirst(Effect.as(this.readStore(), true), fromPeers));
			this.reportProblem(Result.isFailure(answer) ? answer.failure.message : undefined);
			if (Result.isFailure(answer) && this.highestHeard() > this.version) {
				yield* this.askPeers();
			}
			return Result.isSuccess(answer) && answer.success && this.highestHeard() <= this.version;
		});
	}

	private readStore(): Effect.Effect<void, LoadError> {
		return Effect.gen({ self: this }, function* () {
			const watched = this.watchedHead;
			this.watchedHead = undefined;
			if (watched === undefined && this.headRevision > 0 && this.highestHeard() <= this.version) {
				const head = yield* Effect.mapError(
					this.options.store.get(HEAD_KEY, { withoutValue: true }),
					({ message }): LoadError => ({ kind: 'unavailable', message }),
				);
				if (head?.revision === this.headRevision) {
					return;
				}
			}
			const snapshot = yield* loadSnapshot(this.options.store, this.cache, watched, this.progress);
			this.progress.clear();
			this.headRevision = snapshot.headRevision;
			this.accept(snapshot.configuration, snapshot.cache, 'the store');
		});
	}

	/** @returns whether a peer had a newer version */
	private askPeers(): Effect.Effect<boolean> {
		return Effect.gen({ self: this }, function* () {
			const newer = [...this.heard].filter(([, version]) => version > this.version);
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
				const adopted = reuseCachedParts(decoded.value, this.cache);
				this.accept(adopted.configuration, adopted.cache, peer);
				return true;
			}
			return false;
		});
	}

	private accept(configuration: Configuration, cache: PartCache, source: string): void {
		if (configuration.version <= this.version) {
			if (configuration.version < this.version) {
				log.warn(`Ignored version ${configuration.version} from ${source}; version ${this.version} is in force.`);
			}
			return;
		}
		this.configuration = configuration;
		this.cache = cache;
		this.document = undefined;
		log.info(`Version ${configuration.version} from ${source} is in force.`);
		try {
			this.changed.fire(configuration);
		} catch (error) {
			// A fault in another part must not end the following, or this router would keep an old version for ever.
			log.error(`A listener failed at version ${configuration.version}: ${String(error)}.`);
		}
	}

	private watchHead(): Effect.Effect<never> {
		return Effect.gen({ self: this }, function* () {
			for (;;) {
				if (this.isWatcher) {
					const start = this.headRevision === 0 ? undefined : this.headRevision + 1;
					const watch = this.options.store.watch(HEAD_KEY, (head) => this.onDidWatch(head), start);
					yield* Effect.result(Effect.raceFirst(watch, this.untilNotWatcher()));
				}
				yield* Effect.sleep(this.jittered(ROLE_CHECK_MS));
			}
		});
	}

	private untilNotWatcher(): Effect.Effect<void> {
		return Effect.gen({ self: this }, function* () {
			while (this.isWatcher) {
				yield* Effect.sleep(ROLE_CHECK_MS);
			}
		});
	}

	private onDidWatch(head: KeyValue | undefined): void {
		if (head !== undefined && head.revision > Math.max(this.headRevision, this.watchedHead?.revision ?? 0)) {
			this.watchedHead = head;
			this.wake.openUnsafe();
		}
	}

	private highestHeard(): number {
		return Math.max(0, ...this.heard.values());
	}

	private jittered(milliseconds: number): Duration.Duration {
		return Duration.millis(milliseconds * (1 - JITTER + 2 * JITTER * this.random()));
	}

	private reportProblem(problem: string | undefined): void {
		if (problem !== undefined && problem !== this.lastProblem) {
			log.warn(`The configuration cannot be read: ${problem}.`);
		}
		this.lastProblem = problem;
	}
}
