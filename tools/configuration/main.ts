/** Measures how long it takes to apply, load and change a configuration of the size that the design targets. */
import { parseArgs } from 'node:util';
import { Effect } from 'effect';
import { splitIntoParts } from '../../src/configuration/common/configurationParts.js';
import { validateContent } from '../../src/configuration/common/configurationValidation.js';
import type { ConfigurationContent } from '../../src/configuration/common/model.js';
import { decodeDocument, encodeDocument } from '../../src/configuration/node/configurationDocument.js';
import { ConfigurationPublisher } from '../../src/configuration/node/configurationPublisher.js';
import {
	reuseCachedParts,
	type ConfigurationSnapshot,
	loadSnapshot,
} from '../../src/configuration/node/configurationSnapshot.js';
import { digestOfToken } from '../../src/index.js';
import { EtcdStore } from '../../src/store/node/etcdStore.js';
import { callJson } from '../fleet/httpJson.js';
import { ProcessGroup } from '../fleet/processes.js';

const DESIGN_ACCOUNTS = 19_000;
const DESIGN_SERVERS = 4_500;
const SERVERS_PER_POOL = 265;
const MEGABYTE = 1_048_576;

type Metrics = Record<string, number>;

const { values } = parseArgs({
	options: {
		accounts: { type: 'string', default: String(DESIGN_ACCOUNTS) },
		servers: { type: 'string', default: String(DESIGN_SERVERS) },
		load: { type: 'string' },
	},
});

if (values.load === undefined) {
	await measureAll();
} else {
	// Runs in a separate process, so that the memory measured is that of a router that only loads the configuration.
	process.stdout.write(`${JSON.stringify(await measureLoad(values.load))}\n`);
}

async function measureAll(): Promise<void> {
	const group = ProcessGroup.create();
	try {
		const { ready } = await group.startStandIn('platform', 'standins/platform/main.js', []);
		const store = EtcdStore.create(String(ready.store));
		const calls = (path: string): Promise<unknown> =>
			callJson('GET', `http://${String(ready.address)}/control/${path}`);
		const metrics: Metrics = {
			...(await measureApply(store)),
			...prefixCounters('apply', await calls('counters')),
		};
		const loader = group.start('loader', 'tools/configuration/main.js', ['--load', String(ready.store)]);
		Object.assign(metrics, JSON.parse(await loader.firstLine) as Metrics);
		for (const [name, value] of Object.entries(metrics)) {
			process.stdout.write(`${name.padEnd(24)} ${value}\n`);
		}
		process.stdout.write(`${JSON.stringify(metrics)}\n`);
	} finally {
		await group.end();
	}
}

async function measureApply(store: EtcdStore): Promise<Metrics> {
	const input = createContent(Number(values.accounts), Number(values.servers));
	const validated = measureTime(() => validateContent(input));
	const content = validated.result.unwrapOrElse((faults) => {
		throw new Error(JSON.stringify(faults.slice(0, 3)));
	});
	const sizes = splitIntoParts(content).map(({ text }) => text.length);
	const publisher = ConfigurationPublisher.create(store);
	const base = await Effect.runPromise(publisher.load());
	const published = await measureTimeAsync(() => Effect.runPromise(publisher.publish(base, content)));
	return {
		accounts: content.accounts.length,
		backend_servers: content.backendServers.length,
		parts: sizes.length,
		largest_part_bytes: Math.max(...sizes),
		total_bytes: sizes.reduce((sum, size) => sum + size, 0),
		validate_ms: validated.ms,
		apply_ms: published.ms,
	};
}

async function measureLoad(storeUrl: string): Promise<Metrics> {
	const store = EtcdStore.create(storeUrl);
	collectGarbage();
	const before = process.memoryUsage();
	const first = await measureTimeAsync(() => Effect.runPromise(loadSnapshot(store, new Map())));
	const firstCalls = store.calls;
	collectGarbage();
	const after = process.memoryUsage();
	const changed = await measureChange(store, first.result);
	const { configuration, cache } = first.result;
	const encoded = measureTime(() => encodeDocument(configuration));
	const adopted = measureTime(() => {
		const decoded = decodeDocument(encoded.result).unwrapOrElse((reason) => {
			throw new Error(reason);
		});
		return reuseCachedParts(decoded, cache);
	});
	return {
		load_ms: first.ms,
		load_store_calls: firstCalls,
		load_heap_mb: toMegabytes(after.heapUsed - before.heapUsed),
		load_rss_growth_mb: toMegabytes(after.rss - before.rss),
		...changed,
		document_bytes: encoded.result.length,
		document_encode_ms: encoded.ms,
		document_adopt_ms: adopted.ms,
	};
}

/** Publishes a change of one account, and reads it like a router that has the previous version. */
async function measureChange(store: EtcdStore, known: ConfigurationSnapshot): Promise<Metrics> {
	const publisher = ConfigurationPublisher.create(store);
	const [first, ...others] = known.configuration.accounts;
	if (first === undefined) {
		return {};
	}
	const content = { ...known.configuration, accounts: [{ ...first, share: first.share + 1 }, ...others] };
	const callsBefore = store.calls;
	const published = await measureTimeAsync(() => Effect.runPromise(publisher.publish(known, content)));
	const callsBetween = store.calls;
	const reread = await measureTimeAsync(() => Effect.runPromise(loadSnapshot(store, known.cache)));
	return {
		change_apply_ms: published.ms,
		change_apply_store_calls: callsBetween - callsBefore,
		change_read_ms: reread.ms,
		change_read_store_calls: store.calls - callsBetween,
	};
}

function createContent(accountCount: number, serverCount: number): ConfigurationContent {
	const poolIds = Array.from({ length: Math.ceil(serverCount / SERVERS_PER_POOL) }, (_, index) => `model-${index + 1}`);
	return {
		accounts: Array.from({ length: accountCount }, (_, index) => ({
			id: `client-account-${index}`,
			share: 1 + (index % 7),
			tokenDigests: [digestOfToken(`token ${index}`)],
			services: [0, 1, 2].map((step) => poolIds[(index + step) % poolIds.length] ?? ''),
		})),
		services: poolIds.map((id) => ({
			id,
			pool: id,
			kind: 'model-engine',
			operations: [{ method: 'POST', path: '/v1/completions', idempotent: true }],
			resumable: true,
			maximumBodyBytes: MEGABYTE,
		})),
		pools: poolIds.map((id) => ({ id, slack: 2 })),
		backendServers: Array.from({ length: serverCount }, (_, index) => ({
			id: `engine-${index}`,
			pool: poolIds[index % poolIds.length] ?? '',
			url: `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`,
			slots: 8,
			checksFencing: index % 2 === 0,
		})),
	};
}

function prefixCounters(prefix: string, counters: unknown): Metrics {
	const { reads = 0, writes = 0, bytesReceived = 0 } = counters as Metrics;
	return { [`${prefix}_reads`]: reads, [`${prefix}_writes`]: writes, [`${prefix}_bytes_sent`]: bytesReceived };
}

function measureTime<T>(run: () => T): { readonly result: T; readonly ms: number } {
	const startedAt = performance.now();
	const result = run();
	return { result, ms: Math.round(performance.now() - startedAt) };
}

async function measureTimeAsync<T>(run: () => Promise<T>): Promise<{ readonly result: T; readonly ms: number }> {
	const startedAt = performance.now();
	const result = await run();
	return { result, ms: Math.round(performance.now() - startedAt) };
}

// Does nothing without --expose-gc; the measured heap then includes garbage.
function collectGarbage(): void {
	(globalThis as { readonly gc?: () => void }).gc?.();
}

function toMegabytes(bytes: number): number {
	return Math.round((bytes / MEGABYTE) * 10) / 10;
}
