import { readdirSync, readFileSync } from 'node:fs';
import type { PlatformRouterProcess } from './platformFleet.js';

const SAMPLE_INTERVAL_MS = 50;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Memory and descriptors of a process, as far as they have been observed. */
export interface ResourceUse {
	readonly exit: number | NodeJS.Signals | undefined;
	readonly peakMegabytes: number;
	readonly peakDescriptors: number;
}

/**
 * Samples a process several times a second.
 *
 * @param router whose process is sampled
 * @returns a function that ends the sampling and returns what was observed
 */
export function observeResources({ program }: PlatformRouterProcess): () => ResourceUse {
	let exit: ResourceUse['exit'];
	let peakMegabytes = 0;
	let peakDescriptors = 0;
	void program.exit.then((status) => (exit = status));
	const sample = (): void => {
		try {
			const status = readFileSync(`/proc/${program.process.pid}/status`, 'utf8');
			const kilobytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
			peakMegabytes = Math.max(peakMegabytes, Math.round(kilobytes / KILOBYTES_PER_MEGABYTE));
			peakDescriptors = Math.max(peakDescriptors, readdirSync(`/proc/${program.process.pid}/fd`).length);
		} catch {
			// The process has ended, which the exit status shows.
		}
	};
	const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
	return () => {
		clearInterval(timer);
		sample();
		return { exit, peakMegabytes, peakDescriptors };
	};
}
