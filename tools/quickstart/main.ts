/** Starts a small fleet with stand-ins, sends requests of several accounts, and prints the service that each received. */
import sade from 'sade';
import { DRAFTS_PATH, createTestAccounts, createTestConfiguration } from '../fleet/configuration.js';
import { Fleet } from '../fleet/fleet.js';
import { LoadGenerator } from '../load/load.js';
import { analyse } from '../measure/analysis.js';
import { readLedger } from '../measure/run.js';

const SHARES = [4, 2, 1, 1];
const ROUTERS = 3;
const ENGINE_SLOTS = [4, 4, 4];
const PLAIN_SLOTS = [4];
const TOKEN_MS = 10;
const SLACK = 2;
const COSTS = { least: 1, largest: 50 };
const DURATION_MS = 6_000;
const DRAIN_MS = 10_000;

async function main(options: { readonly keep?: boolean }): Promise<void> {
	const accounts = createTestAccounts(SHARES);
	const fleet = await Fleet.start({
		routers: ROUTERS,
		engineSlots: ENGINE_SLOTS,
		plainSlots: PLAIN_SLOTS,
		tokenMs: TOKEN_MS,
	});
	try {
		await fleet.apply(createTestConfiguration(accounts, fleet.backends, SLACK));
		await fleet.waitUntilReady();
		print(`${ROUTERS} routers are ready and have the configuration. Sending requests for ${DURATION_MS / 1000} s.`);
		await sendAndPrint(fleet);
		if (options.keep === true) {
			printAddresses(fleet);
			await new Promise(() => undefined);
		}
	} finally {
		await fleet.end();
	}
}

/** Keeps every account backlogged on every router, so that each receives its share of the total service. */
async function sendAndPrint(fleet: Fleet): Promise<void> {
	const accounts = createTestAccounts(SHARES);
	const load = LoadGenerator.create({
		seed: 1,
		sources: accounts.flatMap(({ share }, account) =>
			fleet.routers.map((_, router) => ({ account, router, inProgress: 2 + 2 * share })),
		),
		costs: COSTS,
		routers: fleet.routers.map((router) => router.callersUrl),
		tokens: accounts.map((account) => account.token),
		path: DRAFTS_PATH,
		durationMs: DURATION_MS,
	});
	const record = await load.run(DRAIN_MS);
	const engines = fleet.backends.filter((backend) => backend.kind === 'model-engine');
	const ledgers = await Promise.all(engines.map((engine) => readLedger(engine.id, engine.url)));
	const analysis = analyse(record, ledgers.flat(), {
		shares: SHARES,
		slots: new Map(engines.map((engine) => [engine.id, engine.slots])),
		fromMs: record.startMs,
		untilMs: record.endMs,
	});
	const total = analysis.service.reduce((sum, service) => sum + service, 0);
	print('account      share  service  of all  verdicts');
	accounts.forEach(({ id, share }, account) => {
		const service = analysis.service[account] ?? 0;
		const verdicts = new Map<string, number>();
		for (const { outcome } of record.requests.filter((request) => request.account === account)) {
			const verdict = outcome?.verdict ?? outcome?.result ?? 'lost';
			verdicts.set(verdict, (verdicts.get(verdict) ?? 0) + 1);
		}
		const columns = [
			id.padEnd(11),
			String(share).padStart(6),
			String(Math.round(service)).padStart(8),
			`${Math.round((100 * service) / total)} %`.padStart(7),
			` ${[...verdicts].map(([verdict, count]) => `${count} ${verdict}`).join(', ')}`,
		];
		print(columns.join(' '));
	});
	print(`Fairness gap: ${Math.round(Math.max(...analysis.gaps))} cost units per share.`);
	const wrong = record.requests.filter(({ outcome }) => outcome?.result !== 'whole').length;
	print(`${record.requests.length - wrong} of ${record.requests.length} answers were whole.`);
	if (wrong > 0) {
		process.exitCode = 1;
	}
}

function printAddresses(fleet: Fleet): void {
	print('The fleet keeps running until Ctrl-C.');
	for (const router of fleet.routers) {
		print(`${router.name}: callers ${router.callersUrl}, admin ${router.adminUrl}`);
	}
	print(`Store ${fleet.storeUrl}, instance list ${fleet.instanceListUrl}`);
	print(`Try: curl -N ${fleet.routers[0]?.callersUrl ?? ''}/services/${DRAFTS_PATH} \\`);
	print(`  -H 'Authorization: Bearer ${createTestAccounts(SHARES)[0]?.token ?? ''}' \\`);
	print(`  -d '{"prompt": "Moon phases", "max_tokens": 8, "stream": true}'`);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

sade('quickstart', true).option('--keep', 'leave the fleet running until Ctrl-C').action(main).parse(process.argv);
