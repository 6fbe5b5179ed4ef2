import { sleep } from '../fleet/processes.js';

/** Memory of router processes, as the mean over the routers, in megabytes. */
export interface RouterMemory {
	readonly residentMb: number;
	/** Minimum of the sampled heap sizes, since garbage adds to them between collections. */
	readonly heapMb: number;
}

const BYTES_PER_MB = 1_000_000;
const SAMPLES = 8;
const SAMPLE_INTERVAL_MS = 400;

/**
 * Samples the memory of router processes from their metrics.
 *
 * @param adminUrls base URLs of the routers' admin addresses
 * @returns the mean over the routers
 */
export async function measureRouterMemory(adminUrls: readonly string[]): Promise<RouterMemory> {
	const resident: number[] = [];
	const heaps = adminUrls.map(() => Infinity);
	for (let sample = 0; sample < SAMPLES; sample++) {
		const texts = await Promise.all(adminUrls.map(async (url) => (await fetch(`${url}/metrics`)).text()));
		texts.forEach((text, index) => {
			resident[index] = parseMetric(text, 'process_resident_memory_bytes') / BYTES_PER_MB;
			heaps[index] = Math.min(
				heaps[index] ?? Infinity,
				parseMetric(text, 'nodejs_heap_size_used_bytes') / BYTES_PER_MB,
			);
		});
		await sleep(SAMPLE_INTERVAL_MS);
	}
	return { residentMb: mean(resident), heapMb: mean(heaps) };
}

function parseMetric(text: string, name: string): number {
	return Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? NaN);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
