const MAXIMUM_EVENTS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** A stored value; keys and values are kept in base64, as on the wire. */
export interface StoredValue {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	readonly lease: string | undefined;
}

/** One change of a key. */
export interface KeyEvent {
	readonly type: 'PUT' | 'DELETE';
	readonly revision: number;
	readonly key: string;
	readonly item: StoredValue | undefined;
}

interface Lease {
	readonly seconds: number;
	readonly keys: Set<string>;
	timer: NodeJS.Timeout;
}

/** Content of a store at one moment. */
export interface KeyValueCopy {
	readonly revision: number;
	readonly nextLease: number;
	readonly items: readonly StoredValue[];
	readonly leases: readonly { readonly id: string; readonly seconds: number }[];
}

/** Keys, leases and recent changes of a stand-in for the key-value service. */
export class KeyValueState {
	private readonly items = new Map<string, StoredValue>();
	private readonly leases = new Map<string, Lease>();
	private readonly events: KeyEvent[] = [];
	private readonly listeners = new Set<(event: KeyEvent) => void>();
	private currentRevision = 1;
	private nextLease = 1;
	private droppedRevision = 0;

	/** Revision of the last write. */
	public get revision(): number {
		return this.currentRevision;
	}

	/** Number of keys. */
	public get size(): number {
		return this.items.size;
	}

	/** Starts a new revision, shared by all writes of one transaction. */
	public incrementRevision(): void {
		this.currentRevision++;
	}

	public get(key: string): StoredValue | undefined {
		return this.items.get(key);
	}

	/**
	 * @param start first key, in base64
	 * @param end the key after the last one, in base64
	 * @returns the values in the order of their keys
	 */
	public range(start: string, end: string): readonly StoredValue[] {
		const first = Buffer.from(start, 'base64');
		const last = Buffer.from(end, 'base64');
		const found = [...this.items.values()].map((item) => ({ item, bytes: Buffer.from(item.key, 'base64') }));
		return found
			.filter(({ bytes }) => Buffer.compare(bytes, first) >= 0 && Buffer.compare(bytes, last) < 0)
			.sort((left, right) => Buffer.compare(left.bytes, right.bytes))
			.map(({ item }) => item);
	}

	/** Writes a value at the current revision. */
	public put(key: string, value: string, lease: string | undefined): void {
		const before = this.items.get(key);
		this.detachFromLease(before);
		const item: StoredValue = {
			key,
			value,
			createRevision: before?.createRevision ?? this.currentRevision,
			modRevision: this.currentRevision,
			version: (before?.version ?? 0) + 1,
			lease,
		};
		this.items.set(key, item);
		if (lease !== undefined) {
			this.leases.get(lease)?.keys.add(key);
		}
		this.publish({ type: 'PUT', revision: this.currentRevision, key, item });
	}

	/** Removes a key at the current revision. */
	public delete(key: string): void {
		const before = this.items.get(key);
		if (before === undefined) {
			return;
		}
		this.detachFromLease(before);
		this.items.delete(key);
		this.publish({ type: 'DELETE', revision: this.currentRevision, key, item: undefined });
	}

	public hasLease(id: string): boolean {
		return this.leases.has(id);
	}

	public grant(seconds: number): string {
		const id = String(this.nextLease++);
		this.leases.set(id, { seconds, keys: new Set(), timer: this.startExpiryTimer(id, seconds) });
		return id;
	}

	/** @returns remaining seconds of the lease; 0 if it has expired */
	public keepAlive(id: string): number {
		const lease = this.leases.get(id);
		if (lease === undefined) {
			return 0;
		}
		clearTimeout(lease.timer);
		lease.timer = this.startExpiryTimer(id, lease.seconds);
		return lease.seconds;
	}

	/** Ends a lease and removes its keys. */
	public revoke(id: string): boolean {
		const lease = this.leases.get(id);
		if (lease === undefined) {
			return false;
		}
		clearTimeout(lease.timer);
		this.leases.delete(id);
		this.incrementRevision();
		for (const key of lease.keys) {
			this.delete(key);
		}
		return true;
	}

	/**
	 * @param revision first revision to return
	 * @returns the changes from this revision on, or undefined if some of them have been dropped
	 */
	public eventsSince(revision: number): readonly KeyEvent[] | undefined {
		return revision <= this.droppedRevision ? undefined : this.events.filter((event) => event.revision >= revision);
	}

	public subscribe(listener: (event: KeyEvent) => void): () => void {
		this.listeners.add(listener);
		return () => this.listeners.delete(listener);
	}

	/** @returns the present content */
	public copy(): KeyValueCopy {
		return {
			revision: this.currentRevision,
			nextLease: this.nextLease,
			items: [...this.items.values()],
			leases: [...this.leases].map(([id, { seconds }]) => ({ id, seconds })),
		};
	}

	/**
	 * Returns to an earlier content. What was written since is gone, and its revisions and leases are given out again.
	 *
	 * @param copy earlier content
	 */
	public restore(copy: KeyValueCopy): void {
		this.close();
		this.leases.clear();
		this.items.clear();
		this.events.length = 0;
		this.currentRevision = copy.revision;
		this.droppedRevision = copy.revision;
		this.nextLease = copy.nextLease;
		copy.leases.forEach(({ id, seconds }) =>
			this.leases.set(id, { seconds, keys: new Set(), timer: this.startExpiryTimer(id, seconds) }),
		);
		copy.items.forEach((item) => {
			this.items.set(item.key, item);
			this.leases.get(item.lease ?? '')?.keys.add(item.key);
		});
	}

	/** Stops the timers of all leases. */
	public close(): void {
		for (const lease of this.leases.values()) {
			clearTimeout(lease.timer);
		}
	}

	private startExpiryTimer(id: string, seconds: number): NodeJS.Timeout {
		return setTimeout(() => this.revoke(id), seconds * MILLISECONDS_PER_SECOND);
	}

	private detachFromLease(item: StoredValue | undefined): void {
		if (item?.lease !== undefined) {
			this.leases.get(item.lease)?.keys.delete(item.key);
		}
	}

	private publish(event: KeyEvent): void {
		this.events.push(event);
		if (this.events.length > MAXIMUM_EVENTS) {
			this.droppedRevision = this.events.shift()?.revision ?? this.droppedRevision;
		}
		for (const listener of [...this.listeners]) {
			listener(event);
		}
	}
}
