import { mkdirSync, writeFileSync } from 'node:fs';
import type { ScenarioOutcome } from '../measure/results.js';
import {
	measureAccounts,
	measureBackends,
	measureChanges,
	measurePeers,
	measureRequestRate,
	measureRequests,
} from './fleetSlopes.js';
import { measureDecisions, measureMessages } from './messageSlopes.js';
import { plotSlope } from './plot.js';
import type { Slope } from './slope.js';

const OUTPUT_FOLDER = 'docs/capacity';

const MEASUREMENTS: readonly (() => Promise<readonly Slope[]>)[] = [
	() => Promise.resolve(measureDecisions()),
	measureMessages,
	measurePeers,
	measureAccounts,
	measureBackends,
	measureRequests,
	measureChanges,
	measureRequestRate,
];

/**
 * Measures all slopes of docs/CAPACITY.md, and writes the measured points and a plot of each slope to docs/capacity.
 *
 * @param seed seed of costs and arrivals
 * @returns an outcome without metrics; a line for each slope is printed as soon as it is measured
 */
export async function runSlopes(seed: number): Promise<ScenarioOutcome> {
	mkdirSync(OUTPUT_FOLDER, { recursive: true });
	const slopes: Slope[] = [];
	for (const measure of MEASUREMENTS) {
		const found = await measure();
		slopes.push(...found);
		for (const slope of found) {
			process.stdout.write(`  ${describe(slope)}\n`);
			writeFileSync(`${OUTPUT_FOLDER}/${slope.name}.svg`, await plotSlope(slope));
		}
	}
	writeFileSync(`${OUTPUT_FOLDER}/slopes.json`, `${JSON.stringify(slopes, undefined, '\t')}\n`);
	return { results: { scenario: 'slopes', seed }, lines: [], broken: [] };
}

function describe({ name, fit, points, xLabel, yLabel }: Slope): string {
	const raw = points.map(({ x, y }) => `(${x}, ${y.toPrecision(4)})`).join(' ');
	const line = `${fit.intercept.toPrecision(4)} + ${fit.slope.toPrecision(4)}·x, r² ${fit.determination.toFixed(3)}`;
	return `${name}: ${yLabel} against ${xLabel}: ${line}; points ${raw}`;
}
