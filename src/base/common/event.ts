import { type IDisposable, toDisposable } from './lifecycle.js';

/**
 * Registers a listener.
 *
 * @param listener called for each value that is fired
 * @returns a disposable that removes the listener
 */
export type Event<T> = (listener: (value: T) => void) => IDisposable;

/** Publishes values to listeners, which are called in the order in which they were added. */
export class Emitter<T> implements IDisposable {
	private readonly listeners = new Set<(value: T) => void>();

	private constructor() {}

	/** @returns an emitter without listeners */
	public static create<T>(): Emitter<T> {
		return new Emitter<T>();
	}

	/** Adds a listener. */
	public readonly event: Event<T> = (listener) => {
		this.listeners.add(listener);
		return toDisposable(() => this.listeners.delete(listener));
	};

	/**
	 * Calls all listeners.
	 *
	 * @param value passed to each listener
	 */
	public fire(value: T): void {
		for (const listener of [...this.listeners]) {
			listener(value);
		}
	}

	public dispose(): void {
		this.listeners.clear();
	}
}
