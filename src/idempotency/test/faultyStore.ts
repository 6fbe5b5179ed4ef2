import { Effect } from 'effect';
import type { IKeyValueStore, KeyValue, StoreError, SwapResult } from '../../store/common/keyValueStore.js';

/** What happens to one write: its answer is lost after it took effect, or it is refused without effect. */
export type StoreFault = 'answer-lost' | 'refused';

/** Store in memory, shared by several services, whose writes fail on command. */
export class FaultyStore implements IKeyValueStore {
	public readonly values = new Map<string, KeyValue & { readonly leaseId: string | undefined }>();
	public readonly grantedSeconds: number[] = [];
	public down = false;
	/** Every write takes effect and loses its answer. */
	public losesAnswers = false;
	private readonly faults: StoreFault[] = [];
	private revision = 0;

	private constructor() {}

	/** @returns an empty store */
	public static create(): FaultyStore {
		return new FaultyStore();
	}

	/** @param faults what happens to the next writes, in their order */
	public failNext(...faults: readonly StoreFault[]): void {
		this.faults.push(...faults);
	}

	public get(key: string): Effect.Effect<KeyValue | undefined, StoreError> {
		return this.answer(() => this.values.get(key));
	}

	public list(prefix: string): Effect.Effect<readonly KeyValue[], StoreError> {
		return this.answer(() => [...this.values.values()].filter((item) => item.key.startsWith(prefix)));
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
		return this.answer(() => String(this.grantedSeconds.push(timeToLiveSeconds)));
	}

	public keepAlive(): Effect.Effect<boolean, StoreError> {
		return this.answer(() => true);
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
			return Effect.flatMap(this.answer(change), (result) =>
				fault === 'answer-lost' || this.losesAnswers
					? Effect.fail<StoreError>({ outcome: 'unknown', message: 'the answer was lost' })
					: Effect.succeed(result),
			);
		});
	}

	// Yields first, so that calls of several services interleave as they do over a network.
	private answer<A>(work: () => A): Effect.Effect<A, StoreError> {
		return Effect.andThen(
			Effect.yieldNow,
			Effect.suspend(() =>
				this.down ? Effect.fail<StoreError>({ outcome: 'no-effect', message: 'the store is down' }) : Effect.sync(work),
			),
		);
	}
}
