import { randomBytes } from 'node:crypto';
import { Effect, Result } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError, SwapResult } from '../../store/common/keyValueStore.js';
import { compareContent, type ConfigurationChange } from '../common/configurationChanges.js';
import {
	type ConfigurationHead,
	decodeHead,
	digestOfPart,
	encodeHead,
	HEAD_KEY,
	PART_PREFIX,
	listParts,
	partKey,
	partName,
	type PartNames,
	RECENT_NONCES,
	versionOfNonce,
} from '../common/configurationHead.js';
import { canonicalContent, type Section, SECTIONS, splitIntoParts } from '../common/configurationParts.js';
import type { ConfigurationContent } from '../common/model.js';
import {
	type ConfigurationSnapshot,
	loadSnapshot,
	type LoadError,
	type PartCache,
	readHead,
} from './configurationSnapshot.js';
import { partDigest } from './partDigest.js';

const NONCE_BYTES = 9;
const PARALLEL_WRITES = 8;
const RETRY_DELAY_MS = 10;
const MAXIMUM_RETRY_DELAY_MS = 1_000;
const DEFAULT_RETRY_TIMEOUT_MS = 30_000;

/** An accepted change. */
export interface Publication {
	readonly version: number;
	/** Differences from the previous version; empty when the store already had the same content. */
	readonly changes: readonly ConfigurationChange[];
}

/**
 * A change that was not accepted, or whose outcome is unknown.
 *
 * - `conflict`: another change was accepted first; `changes` lists its differences.
 * - `not-published`: the store did not accept the change.
 * - `unknown`: the store may have accepted the change, but did not respond in time.
 */
export interface PublishError {
	readonly kind: 'conflict' | 'not-published' | 'unknown';
	readonly message: string;
	/** Version in the store after a conflict. */
	readonly version?: number;
	readonly changes: readonly ConfigurationChange[];
}

interface Change {
	readonly base: ConfigurationSnapshot;
	readonly head: ConfigurationHead;
	/** Texts of the new parts by name. */
	readonly texts: ReadonlyMap<string, string>;
}

/** Publishes configurations to the store. */
export class ConfigurationPublisher {
	private constructor(
		private readonly store: IKeyValueStore,
		private readonly retryTimeoutMs: number,
	) {}

	/**
	 * @param store the platform's store
	 * @param retryTimeoutMs how long calls are retried while the store fails
	 * @returns a publisher
	 */
	public static create(store: IKeyValueStore, retryTimeoutMs = DEFAULT_RETRY_TIMEOUT_MS): ConfigurationPublisher {
		return new ConfigurationPublisher(store, retryTimeoutMs);
	}

	/**
	 * Loads the stored configuration.
	 *
	 * @param cache parts that have been read before
	 * @returns a snapshot that a change can be based on
	 */
	public load(cache: PartCache = new Map()): Effect.Effect<ConfigurationSnapshot, LoadError> {
		const deadline = performance.now() + this.retryTimeoutMs;
		const load = loadSnapshot(this.store, cache);
		return retryWithBackoff(load, deadline, ({ kind }) => kind === 'unavailable');
	}

	/** @returns the version in the store, read without the parts; 0 when nothing has been published yet */
	public storedVersion(): Effect.Effect<number, LoadError> {
		const deadline = performance.now() + this.retryTimeoutMs;
		return retryWithBackoff(readHead(this.store), deadline, ({ kind }) => kind === 'unavailable').pipe(
			Effect.map((stored) => stored?.head.version ?? 0),
		);
	}

	/**
	 * Replaces the configuration, provided that it has not changed since it was loaded.
	 *
	 * @param base the snapshot that the change is based on
	 * @param content validated content
	 * @returns the new version and its differences, also when the response of the store was lost
	 */
	public publish(base: ConfigurationSnapshot, content: ConfigurationContent): Effect.Effect<Publication, PublishError> {
		const ordered = canonicalContent(content);
		const change = prepareChange(base, ordered);
		if (base.headRevision !== 0 && samePartNames(base.head.parts, change.head.parts)) {
			return Effect.succeed({ version: base.head.version, changes: [] });
		}
		return Effect.gen({ self: this }, function* () {
			const deadline = performance.now() + this.retryTimeoutMs;
			yield* Effect.forEach(change.texts, ([name, text]) => this.writePart(name, text, deadline), {
				concurrency: PARALLEL_WRITES,
				discard: true,
			});
			const version = yield* this.writeHead(change, deadline);
			return { version, changes: compareContent(base.configuration, ordered) };
		});
	}

	// A part's name is unique to its change, so an existing part was written by an earlier attempt of this call whose
	// response was lost.
	private writePart(name: string, text: string, deadline: number): Effect.Effect<SwapResult, PublishError> {
		const write = this.store.compareAndSwap(partKey(name), 0, Buffer.from(text));
		// A part has no effect without a head that refers to it, so the change has not been published.
		return Effect.mapError(retrySwap(write, deadline), ({ message }) => createPublishError('not-published', message));
	}

	// Retrying the swap is safe: a delayed earlier attempt and the retry expect the same revision, so at most one of them
	// takes effect.
	private writeHead(change: Change, deadline: number): Effect.Effect<number, PublishError> {
		const value = Buffer.from(encodeHead(change.head));
		return Effect.gen({ self: this }, function* () {
			const swap = this.store.compareAndSwap(HEAD_KEY, change.base.headRevision, value);
			const swapped = yield* Effect.mapError(retrySwap(swap, deadline), ({ message, outcome }) =>
				createPublishError(outcome === 'unknown' ? 'unknown' : 'not-published', message),
			);
			if (!swapped.swapped) {
				return yield* this.findOutcome(change, swapped.current);
			}
			yield* this.removeUnusedParts(change.head.parts, swapped.revision);
			return change.head.version;
		});
	}

	/** Determines whether the stored head that made the swap fail already contains this change. */
	private findOutcome(change: Change, current: KeyValue | undefined): Effect.Effect<number, PublishError> {
		const stored = current && decodeHead(new TextDecoder().decode(current.value));
		if (stored === undefined || stored.isErr) {
			const message = stored?.isErr === true ? stored.error : 'the configuration was removed from the store';
			return Effect.fail(createPublishError('unknown', message));
		}
		const version = versionOfNonce(stored.value, change.head.nonce);
		if (version !== undefined) {
			return Effect.succeed(version);
		}
		if (stored.value.version - change.base.head.version > RECENT_NONCES) {
			const message = `more than ${RECENT_NONCES} changes followed, so the store no longer shows whether this one was applied`;
			return Effect.fail(createPublishError('unknown', message));
		}
		return Effect.flatMap(this.conflict(change, current), (error) => Effect.fail(error));
	}

	private conflict(change: Change, current: KeyValue | undefined): Effect.Effect<PublishError> {
		return Effect.map(Effect.result(loadSnapshot(this.store, change.base.cache, current)), (loaded) => {
			if (Result.isFailure(loaded)) {
				return createPublishError(
					'conflict',
					`another change was accepted; it could not be read: ${loaded.failure.message}`,
				);
			}
			const { configuration } = loaded.success;
			return {
				kind: 'conflict' as const,
				message: `the configuration was changed to version ${configuration.version} in the meantime`,
				version: configuration.version,
				changes: compareContent(change.base.configuration, configuration),
			};
		});
	}

	/**
	 * Removes unused parts. A part that is older than the head and that the head does not list belongs to an earlier head
	 * or to a change whose swap can no longer succeed. Parts that remain after a failure are removed by the next change.
	 */
	private removeUnusedParts(parts: PartNames, headRevision: number): Effect.Effect<void> {
		const used = new Set(listParts(parts).map(({ name }) => partKey(name)));
		const listed = Effect.result(this.store.list(PART_PREFIX, { withoutValue: true }));
		return Effect.flatMap(listed, (result) => {
			const stored = Result.isSuccess(result) ? result.success : [];
			const unused = stored.filter(({ key, revision }) => revision < headRevision && !used.has(key));
			const remove = ({ key, revision }: KeyValue) => Effect.result(this.store.remove(key, revision));
			return Effect.forEach(unused, remove, { concurrency: PARALLEL_WRITES, discard: true });
		});
	}
}

function prepareChange(base: ConfigurationSnapshot, content: ConfigurationContent): Change {
	const nonce = randomBytes(NONCE_BYTES).toString('base64url');
	const texts = new Map<string, string>();
	const empty = SECTIONS.map((section) => [section, base.head.parts[section].map(() => '')]);
	const parts = Object.fromEntries(empty) as Record<Section, string[]>;
	for (const { section, bucket, text } of splitIntoParts(content)) {
		const digest = partDigest(text);
		const before = base.head.parts[section][bucket] ?? '';
		if (digestOfPart(before) === digest) {
			parts[section][bucket] = before;
			continue;
		}
		const name = partName(digest, nonce);
		parts[section][bucket] = name;
		texts.set(name, text);
	}
	const earlier = base.head.nonce === '' ? [] : [base.head.nonce, ...base.head.recentNonces];
	const head = { version: base.head.version + 1, nonce, recentNonces: earlier.slice(0, RECENT_NONCES), parts };
	return { base, head, texts };
}

function samePartNames(left: PartNames, right: PartNames): boolean {
	return SECTIONS.every((section) => left[section].every((name, bucket) => name === right[section][bucket]));
}

function createPublishError(kind: PublishError['kind'], message: string): PublishError {
	return { kind, message, changes: [] };
}

/** Retries a swap until the store responds; the outcome is `unknown` when any attempt may have taken effect. */
function retrySwap(
	swap: Effect.Effect<SwapResult, StoreError>,
	deadline: number,
): Effect.Effect<SwapResult, StoreError> {
	return Effect.suspend(() => {
		let outcome: StoreError['outcome'] = 'no-effect';
		const tracked = Effect.mapError(swap, (error): StoreError => {
			outcome = error.outcome === 'unknown' ? 'unknown' : outcome;
			return { ...error, outcome };
		});
		return retryWithBackoff(tracked, deadline, () => true);
	});
}

/** Retries a call with exponential backoff until it succeeds, must not be retried or would start after the deadline. */
function retryWithBackoff<A, E>(
	call: Effect.Effect<A, E>,
	deadline: number,
	isRetryable: (error: E) => boolean,
): Effect.Effect<A, E> {
	return Effect.gen(function* () {
		for (let delay = RETRY_DELAY_MS; ; delay = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MS)) {
			const result = yield* Effect.result(call);
			if (Result.isSuccess(result)) {
				return result.success;
			}
			if (!isRetryable(result.failure) || performance.now() + delay > deadline) {
				return yield* Effect.fail(result.failure);
			}
			yield* Effect.sleep(delay);
		}
	});
}
