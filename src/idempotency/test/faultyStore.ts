import { Effect } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError, SwapResult } from '../../store/common/keyValueStore.js';

/** Fault of a write: its response is lost after it took effect, or it is refused without effect. */
export type StoreFault = 'answer-lost' | 'refused';

/** In-memory store with injected faults, which several services can share. */
export class FaultyStore implements IKeyValueStore {
	public readonly values = new Map<string, KeyValue & { readonly leaseId: string | undefined }>();
	public readonly grantedSeconds: number[] = [];
	public down = false;
	/** Whether every write takes effect but its response is lost. */
	public losesResponses = false;
	private readonly faults: StoreFault[] = [];
	private revision = 0;

	private constructor() {}

	/** @returns an empty store */
	public static create(): FaultyStore {
		return new FaultyStore();
	}

	/** @param faults faults of the next writes, in order */
	public failNext(...faults: readonly StoreFault[]): void {
		this.faults.push(...faults);
	}

	public get(key: string): Effect.Effect<KeyValue | undefined, StoreError> {
		return this.respond(() => this.values.get(key));
	}

	public list(prefix: string): Effect.Effect<readonly KeyValue[], StoreError> {
		return this.respond(() => [...this.values.values()].filter((item) => item.key.startsWith(prefix)));
	}

	public compareAndSwap(
		key: string,
		expectedRevision: number,
		value: Uint8Array,
		leaseId?: string,
	): Effect.Effect<SwapResult, StoreError> {
		return this.write(() => {
			const current = this.values.get(key);
			if ((current?.revision ?? 0) !== expectedRevision) {
				return { swapped: false, current };
			}
			this.revision++;
			this.values.set(key, { key, value, revision: this.revision, leaseId });
			return { swapped: true, revision: this.revision };
		});
	}

	public remove(key: string, expectedRevision: number): Effect.Effect<SwapResult, StoreError> {
		return this.write(() => {
			const current = this.values.get(key);
			if ((current?.revision ?? 0) !== expectedRevision) {
				return { swapped: false, current };
			}
			this.values.delete(key);
			return { swapped: true, revision: ++this.revision };
		});
	}

	public grantLease(timeToLiveSeconds: number): Effect.Effect<string, StoreError> {
		return this.respond(() => String(this.grantedSeconds.push(timeToLiveSeconds)));
	}

	public keepAlive(): Effect.Effect<boolean, StoreError> {
		return this.respond(() => true);
	}

	public watch(): Effect.Effect<never, StoreError> {
		return Effect.never;
	}

	private write(change: () => SwapResult): Effect.Effect<SwapResult, StoreError> {
		return Effect.suspend(() => {
			const fault = this.faults.shift();
			if (fault === 'refused') {
				return Effect.fail<StoreError>({ outcome: 'no-effect', message: 'refused' });
			}
			return Effect.flatMap(this.respond(change), (result) =>
				fault === 'answer-lost' || this.losesResponses
					? Effect.fail<StoreError>({ outcome: 'unknown', message: 'the response was lost' })
					: Effect.succeed(result),
			);
		});
	}

	// Yields first, so that calls of several services interleave as they do over a network.
	private respond<A>(work: () => A): Effect.Effect<A, StoreError> {
		return Effect.andThen(
			Effect.yieldNow,
			Effect.suspend(() =>
				this.down ? Effect.fail<StoreError>({ outcome: 'no-effect', message: 'the store is down' }) : Effect.sync(work),
			),
		);
	}
}
