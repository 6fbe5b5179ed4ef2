/**
 * Runs measured scenarios. `measure --list` lists them; `measure SCENARIO [--seed N]` runs one and exits with 1 when a
 * bound is violated, and with 2 when the scenario does not exist.
 */
import sade from 'sade';
import { runAtMostOnce } from './once.js';
import type { ScenarioOutcome } from './results.js';
import { runScenario } from './run.js';
import { SCENARIOS } from './scenarios.js';
import { runSlopes } from '../slopes/slopes.js';
import { runSlackCurve } from './slackCurve.js';

const DEFAULT_SEED = 1;

interface Command {
	readonly name: string;
	readonly purpose: string;
	readonly run: (seed: number) => Promise<ScenarioOutcome>;
}

const COMMANDS: readonly Command[] = [
	...SCENARIOS.map((scenario) => ({
		name: scenario.name,
		purpose: scenario.purpose,
		run: (seed: number) => runScenario(scenario, seed),
	})),
	{
		name: 'slack-curve',
		purpose: 'the scenario skew with one slack value after another',
		run: async (seed) => {
			const skew = SCENARIOS.find((scenario) => scenario.name === 'skew');
			if (skew === undefined) {
				throw new Error('scenario skew does not exist');
			}
			return runSlackCurve(skew, seed);
		},
	},
	{ name: 'slopes', purpose: 'CPU, bytes and memory slopes for docs/CAPACITY.md', run: runSlopes },
	{ name: 'once', purpose: '10,000 keyed calls that must run at most once, under random faults', run: runAtMostOnce },
];

async function main(
	name: string | undefined,
	options: { readonly list?: boolean; readonly seed?: number | string },
): Promise<void> {
	if (options.list === true) {
		for (const command of COMMANDS) {
			process.stdout.write(`${command.name.padEnd(18)}${command.purpose}\n`);
		}
		return;
	}
	const command = COMMANDS.find((item) => item.name === name);
	if (command === undefined) {
		process.stderr.write(`scenario '${name ?? ''}' does not exist; --list lists all scenarios\n`);
		process.exitCode = 2;
		return;
	}
	const { lines, broken, results } = await command.run(Number(options.seed ?? DEFAULT_SEED));
	process.stdout.write(`${command.name}: ${command.purpose}\n`);
	for (const line of lines) {
		process.stdout.write(`  ${line}\n`);
	}
	for (const reason of broken) {
		process.stdout.write(`  BROKEN: ${reason}\n`);
	}
	process.stdout.write(`${JSON.stringify(results)}\n`);
	process.exitCode = broken.length > 0 ? 1 : 0;
}

sade('measure [scenario]', true)
	.option('--list', 'list the scenarios')
	.option('--seed', 'seed of costs and arrivals', DEFAULT_SEED)
	.action(main)
	.parse(process.argv);
