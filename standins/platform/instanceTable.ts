const HISTORY_KEPT = 10_000;

/** State that a test gives an instance. */
export type InstanceState = 'live' | 'leaving' | 'removed';

/** A command that adds or changes an instance; what it leaves out stays as it is. */
export interface InstanceChange {
	readonly instance: string;
	readonly role?: 'router' | 'backend';
	/** `host:port` */
	readonly address?: string;
	readonly failure_domain?: string;
	readonly state?: InstanceState;
	/** Further labels, such as `admin`. */
	readonly labels?: Readonly<Record<string, string>>;
}

/** A group of the list, in the Prometheus HTTP service discovery format. */
export interface TargetGroup {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
}

interface Snapshot {
	readonly at: number;
	readonly instances: ReadonlyMap<string, InstanceChange>;
}

/** The instances of the platform and what its list shows of them, which lags behind. */
export class InstanceTable {
	private readonly history: Snapshot[] = [{ at: -Infinity, instances: new Map() }];
	private readonly views = new Map<string, ReadonlyMap<string, string | null>>();
	/** Milliseconds by which the list is late. */
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
		if (this.history.length > HISTORY_KEPT) {
			this.history.shift();
		}
	}

	/**
	 * Shows one reader of the list some instances at other addresses.
	 *
	 * @param viewer name that the reader passes as `?viewer=`
	 * @param addresses `host:port` by instance; null hides the instance from this reader
	 */
	public setView(viewer: string, addresses: Readonly<Record<string, string | null>>): void {
		this.views.set(viewer, new Map(Object.entries(addresses)));
	}

	/** @returns the list as it is shown now to a reader */
	public list(viewer: string | undefined): readonly TargetGroup[] {
		const seenAt = performance.now() - this.lagMs;
		const snapshot = this.history.findLast((item) => item.at <= seenAt) ?? this.history[0];
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
