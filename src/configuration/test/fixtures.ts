import { Effect } from 'effect';
import type { IKeyValueStore, StoreError, SwapResult } from '../../store/common/keyValueStore.js';
import type { ClientAccount, ConfigurationContent } from '../common/model.js';
import type { PartCache } from '../node/configurationSnapshot.js';
import { ConfigurationPublisher, type Publication, type PublishError } from '../node/configurationPublisher.js';

/** @returns an account with a unique token digest */
export function createAccount(id: string, share = 1): ClientAccount {
	const digest = Buffer.from(id.padEnd(32, '.')).subarray(0, 32).toString('hex');
	return { id, share, tokenDigests: [digest], services: ['drafting'] };
}

/** @returns valid content with one pool and the given accounts */
export function createContent(accounts: readonly ClientAccount[]): ConfigurationContent {
	return {
		accounts,
		services: [
			{
				id: 'drafting',
				pool: 'engines',
				kind: 'model-engine',
				operations: [{ method: 'POST', path: '/v1/completions', idempotent: true }],
				resumable: true,
				maximumBodyBytes: 1_000_000,
			},
		],
		pools: [{ id: 'engines', slack: 2 }],
		backendServers: [{ id: 'engine-1', pool: 'engines', url: 'http://127.0.0.1:8000', slots: 8, checksFencing: false }],
	};
}

/** Changes the stored configuration and retries after each conflict, as an operator would. */
export async function changeUntilAccepted(
	publisher: ConfigurationPublisher,
	change: (content: ConfigurationContent) => ConfigurationContent,
): Promise<Publication & { readonly conflicts: number }> {
	let cache: PartCache = new Map();
	for (let conflicts = 0; ; conflicts++) {
		const base = await Effect.runPromise(publisher.load(cache));
		cache = base.cache;
		const outcome = await runPublish(publisher.publish(base, change(base.configuration)));
		if ('version' in outcome && !('kind' in outcome)) {
			return { ...outcome, conflicts };
		}
		if (!('kind' in outcome) || outcome.kind !== 'conflict') {
			throw new Error(outcome.message);
		}
	}
}

/** @returns the publication, or the error as a value */
export function runPublish(publish: Effect.Effect<Publication, PublishError>): Promise<Publication | PublishError> {
	return Effect.runPromise(
		Effect.catch(publish, (error): Effect.Effect<Publication | PublishError> => Effect.succeed(error)),
	);
}

/**
 * Wraps a store so that the response to one write is lost after the write took effect.
 *
 * @param store the wrapped store
 * @param isLost returns whether the response to a write of a key is to be lost
 * @param afterWrite runs between the write and the error
 */
export function withLostResponse(
	store: IKeyValueStore,
	isLost: (key: string) => boolean,
	afterWrite: () => Promise<void> = () => Promise.resolve(),
): IKeyValueStore {
	let wasLost = false;
	const compareAndSwap: IKeyValueStore['compareAndSwap'] = (key, revision, value, leaseId) =>
		Effect.gen(function* () {
			const result: SwapResult = yield* store.compareAndSwap(key, revision, value, leaseId);
			if (wasLost || !isLost(key)) {
				return result;
			}
			wasLost = true;
			yield* Effect.promise(afterWrite);
			return yield* Effect.fail<StoreError>({ outcome: 'unknown', message: 'the response was lost' });
		});
	return {
		compareAndSwap,
		get: (key, options) => store.get(key, options),
		list: (prefix, options) => store.list(prefix, options),
		remove: (key, revision) => store.remove(key, revision),
		grantLease: (seconds) => store.grantLease(seconds),
		keepAlive: (leaseId) => store.keepAlive(leaseId),
		watch: (key, onChange, start) => store.watch(key, onChange, start),
	};
}
