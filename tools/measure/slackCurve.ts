import { createTestAccounts, createTestConfiguration } from '../fleet/configuration.js';
import { SLACK } from './fleetShape.js';
import { evaluateRun } from './judge.js';
import type { ScenarioOutcome } from './results.js';
import { recordRun, startStandardFleet } from './run.js';
import type { Scenario } from './scenario.js';

const SLACK_VALUES = [0, 0.5, 1, 2, 4, 8];
const DURATION_MS = 7_000;

/**
 * Runs a shortened scenario with several slack values, one after another on the same fleet, to compare the gap,
 * utilisation and traffic of each.
 *
 * @param scenario the scenario to shorten and repeat
 * @param seed seed of costs and arrivals
 * @returns the metrics for the standard slack, and a line for each slack value
 */
export async function runSlackCurve(scenario: Scenario, seed: number): Promise<ScenarioOutcome> {
	const fleet = await startStandardFleet(scenario.shares);
	const lines: string[] = [];
	const broken: string[] = [];
	let results: ScenarioOutcome['results'] = { scenario: 'slack-curve', seed };
	try {
		for (const slack of SLACK_VALUES) {
			await fleet.apply(createTestConfiguration(createTestAccounts(scenario.shares), fleet.backends, slack));
			const short = { ...scenario, name: 'slack-curve', durationMs: DURATION_MS, slack };
			const run = await recordRun(fleet, short, seed);
			const outcome = evaluateRun(short, seed, run);
			const {
				gap,
				gap_bound: bound,
				gap_oracle: oracle,
				utilisation,
				control_bytes_per_node_s: bytes,
			} = outcome.results;
			const perRequest = run.usage.peerBytes / run.load.requests.length;
			lines.push(
				`slack ${slack}: gap ${gap ?? ''} (oracle ${oracle ?? ''}, bound ${bound ?? ''}), utilisation ` +
					`${utilisation ?? ''}, ${bytes ?? ''} control bytes per node and second, ` +
					`${Math.round(perRequest)} peer bytes per request`,
			);
			broken.push(...outcome.broken.map((reason) => `slack ${slack}: ${reason}`));
			if (slack === SLACK) {
				results = outcome.results;
			}
		}
		return { lines, broken, results };
	} finally {
		await fleet.end();
	}
}
