/** An object that holds resources until it is disposed. */
export interface IDisposable {
	/** Releases all resources. Further calls have no effect. */
	dispose(): void;
}

/**
 * Wraps a function as a disposable.
 *
 * @param release called once, on the first `dispose`
 * @returns the disposable
 */
export function toDisposable(release: () => void): IDisposable {
	let disposed = false;
	return {
		dispose: () => {
			if (disposed) {
				return;
			}
			disposed = true;
			release();
		},
	};
}

/** Collects disposables and disposes them together, the last one added first. */
export class DisposableStore implements IDisposable {
	private readonly items: IDisposable[] = [];
	private disposed = false;

	private constructor() {}

	/** @returns an empty store */
	public static create(): DisposableStore {
		return new DisposableStore();
	}

	/**
	 * Adds a disposable. It is disposed at once if the store is already disposed.
	 *
	 * @param item disposable to own
	 * @returns the same disposable
	 */
	public add<T extends IDisposable>(item: T): T {
		if (this.disposed) {
			item.dispose();
			return item;
		}
		this.items.push(item);
		return item;
	}

	public dispose(): void {
		this.disposed = true;
		for (const item of this.items.splice(0).reverse()) {
			item.dispose();
		}
	}
}

/** Base class of objects that own other disposables. */
export abstract class Disposable implements IDisposable {
	private readonly store = DisposableStore.create();

	/**
	 * Ties another disposable to this object's lifetime.
	 *
	 * @param item disposable to own
	 * @returns the same disposable
	 */
	protected register<T extends IDisposable>(item: T): T {
		return this.store.add(item);
	}

	public dispose(): void {
		this.store.dispose();
	}
}
