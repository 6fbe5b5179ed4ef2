import sade from 'sade';
import { DEFAULT_ROUTERS, runSoak } from './soak.js';

const DEFAULT_SEEDS = 5;
const DEFAULT_SECONDS = 15;
const MILLISECONDS_PER_SECOND = 1_000;
const LOOPBACK_NETWORK = 203;

interface Options {
	readonly seed?: unknown;
	readonly seeds: unknown;
	readonly seconds: unknown;
	readonly routers: unknown;
	readonly pressure: unknown;
}

sade('soak', true)
	.describe('Injects random faults into router processes, and checks what callers receive and what servers run.')
	.option('--seed', 'First seed (default: derived from the current time)')
	.option('--seeds', 'Number of seeds', DEFAULT_SEEDS)
	.option('--routers', 'Number of routers; more than 16 divide their assignments', DEFAULT_ROUTERS)
	.option('--seconds', 'Seconds during which faults are injected, for each seed', DEFAULT_SECONDS)
	.option('--pressure', 'Callers read slowly, or send what they do not finish or read (--no-pressure: none)', true)
	.action(run)
	.parse(process.argv);

async function run({ seed, seeds, seconds, routers, pressure }: Options): Promise<void> {
	const first = seed === undefined ? Date.now() % 1_000_000 : Number(seed);
	let broken = 0;
	for (let offset = 0; offset < Number(seeds); offset++) {
		const result = await runSoak({
			seed: first + offset,
			durationMs: Number(seconds) * MILLISECONDS_PER_SECOND,
			network: LOOPBACK_NETWORK,
			hasPressure: pressure !== false,
			routers: Number(routers),
		});
		const { answered, calls, faults, violations, passingOn, peakMegabytes } = result;
		console.log(
			`seed ${result.seed}: ${answered} of ${calls} answered, ${faults.length} faults, ${violations.length} violations, ${peakMegabytes} MB, ${passingOn.length} routers passed requests on`,
		);
		if (violations.length > 0) {
			broken++;
			faults.forEach((fault) => console.log(`  ${fault}`));
			violations.forEach((violation) => console.log(`  VIOLATION ${violation}`));
		}
	}
	process.exit(broken === 0 ? 0 : 1);
}
