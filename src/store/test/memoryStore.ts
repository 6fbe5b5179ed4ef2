import { Effect } from 'effect';
import type { KeyValue, StoreError } from '../common/keyValueStore.js';
import type { IRevisionedStore } from '../common/revisionedStore.js';

/** Store in memory whose calls can be made to fail. */
export class MemoryStore implements IRevisionedStore {
	public readonly items = new Map<string, KeyValue>();
	public isDown = false;
	public reads = 0;
	public writes = 0;
	private revision = 0;
	private lease = 0;

	private constructor() {}

	/** @returns an empty store */
	public static create(): MemoryStore {
		return new MemoryStore();
	}

	public get(key: string): Effect.Effect<KeyValue | undefined, StoreError> {
		return this.call(() => this.items.get(key));
	}

	public readAll(prefix: string): ReturnType<IRevisionedStore['readAll']> {
		return this.call(() => {
			this.reads++;
			const entries = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
			return { entries, revision: this.revision };
		});
	}

	public compareAndSwap(
		key: string,
		expected: number,
		value: Uint8Array,
	): ReturnType<IRevisionedStore['compareAndSwap']> {
		return this.call(() => {
			this.writes++;
			const current = this.items.get(key);
			if ((current?.revision ?? 0) !== expected) {
				return { swapped: false, current };
			}
			this.items.set(key, { key, value, revision: ++this.revision });
			return { swapped: true, revision: this.revision };
		});
	}

	public grantLease(): Effect.Effect<string, StoreError> {
		return this.call(() => String(++this.lease));
	}

	public keepAlive(): Effect.Effect<boolean, StoreError> {
		return Effect.succeed(true);
	}

	public remove(): never {
		throw new Error('not used');
	}

	public waitForChanges(): never {
		throw new Error('not used');
	}

	private call<T>(run: () => T): Effect.Effect<T, StoreError> {
		return Effect.suspend(() =>
			this.isDown ? Effect.fail({ outcome: 'no-effect', message: 'the store is away' }) : Effect.succeed(run()),
		);
	}
}
