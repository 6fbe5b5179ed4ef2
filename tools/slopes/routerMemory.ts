import { sleep } from '../fleet/processes.js';

/** Memory of router processes, as the mean over the routers, in megabytes. */
export interface RouterMemory {
	readonly residentMb: number;
	/** Least heap in use that was seen; garbage lifts it between collections. */
	readonly heapMb: number;
}

const BYTES_PER_MB = 1_000_000;
const SAMPLES = 8;
const SAMPLE_INTERVAL_MS = 400;

/**
 * Reads memory from the metrics of router processes.
 *
 * @param adminUrls admin addresses of the routers
 * @returns the mean over the routers
 */
export async function measureRouterMemory(adminUrls: readonly string[]): Promise<RouterMemory> {
	const resident: number[] = [];
	const heaps = adminUrls.map(() => Infinity);
	for (let sample = 0; sample < SAMPLES; sample++) {
		const texts = await Promise.all(adminUrls.map(async (url) => (await fetch(`${url}/metrics`)).text()));
		texts.forEach((text, index) => {
			resident[index] = metric(text, 'process_resident_memory_bytes') / BYTES_PER_MB;
			heaps[index] = Math.min(heaps[index] ?? Infinity, metric(text, 'nodejs_heap_size_used_bytes') / BYTES_PER_MB);
		});
		await sleep(SAMPLE_INTERVAL_MS);
	}
	return { residentMb: mean(resident), heapMb: mean(heaps) };
}

function metric(text: string, name: string): number {
	return Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? NaN);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
