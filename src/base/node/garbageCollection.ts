import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Provides full garbage collections on demand. The option that exposes them can be set in a running process, but not in
 * `NODE_OPTIONS`.
 *
 * @returns runs a full garbage collection, which also frees the buffers outside the heap that nothing refers to
 */
export function exposeGarbageCollection(): () => void {
	let collect: (() => void) | undefined;
	return () => {
		// A context costs time and memory, and most routers never need it.
		collect ??= createCollector();
		collect();
	};
}

function createCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}
