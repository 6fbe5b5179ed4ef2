const MAXIMUM_SNAPSHOTS = 10_000;

/** State of an instance, set by a test. */
export type InstanceState = 'live' | 'leaving' | 'removed';

/** A command that adds or changes an instance; fields that are omitted keep their values. */
export interface InstanceChange {
	readonly instance: string;
	readonly role?: 'router' | 'backend';
	/** `host:port` */
	readonly address?: string;
	readonly failure_domain?: string;
	readonly state?: InstanceState;
	/** Additional labels, such as `admin`. */
	readonly labels?: Readonly<Record<string, string>>;
}

/** An item of the instance list, in the Prometheus HTTP service discovery format. */
export interface TargetGroup {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
}

interface Snapshot {
	readonly at: number;
	readonly instances: ReadonlyMap<string, InstanceChange>;
}

/** The instances of the platform, and the instance list, which lags behind them. */
export class InstanceTable {
	private readonly history: Snapshot[] = [{ at: -Infinity, instances: new Map() }];
	private readonly views = new Map<string, ReadonlyMap<string, string | null>>();
	/** Delay of changes in the list, in milliseconds. */
	public lagMs = 0;

	/** Adds, changes or removes an instance. */
	public change(change: InstanceChange): void {
		const instances = new Map(this.history.at(-1)?.instances);
		const before = instances.get(change.instance);
		if (change.state === 'removed') {
			instances.delete(change.instance);
		} else {
			const labels = { ...before?.labels, ...change.labels };
			instances.set(change.instance, { ...before, ...change, labels });
		}
		this.history.push({ at: performance.now(), instances });
		if (this.history.length > MAXIMUM_SNAPSHOTS) {
			this.history.shift();
		}
	}

	/**
	 * Overrides the addresses of instances for one reader of the list.
	 *
	 * @param viewer name that the reader passes as `?viewer=`
	 * @param addresses `host:port` by instance; null hides the instance from this reader
	 */
	public setView(viewer: string, addresses: Readonly<Record<string, string | null>>): void {
		this.views.set(viewer, new Map(Object.entries(addresses)));
	}

	/** @returns the list that a reader currently receives */
	public list(viewer: string | undefined): readonly TargetGroup[] {
		const visibleAt = performance.now() - this.lagMs;
		const snapshot = this.history.findLast((item) => item.at <= visibleAt) ?? this.history[0];
		const view = viewer === undefined ? undefined : this.views.get(viewer);
		return [...(snapshot?.instances.values() ?? [])].flatMap((instance) => {
			const address = view?.get(instance.instance) ?? instance.address;
			if (address === undefined || view?.get(instance.instance) === null) {
				return [];
			}
			const labels = {
				...instance.labels,
				instance: instance.instance,
				role: instance.role ?? 'router',
				failure_domain: instance.failure_domain ?? '',
				state: instance.state ?? 'live',
			};
			return [{ targets: [address], labels }];
		});
	}
}
