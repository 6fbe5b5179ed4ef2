// One small deployment: the store, its servers and its routers, and the record and end of a case.
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { Routers } from './routers.mjs';
import { ENGINE_SERVICE, PLAIN_SERVICE, Server, configuration } from './servers.mjs';
import { Store } from './store.mjs';

const ZONES = ['mid-a', 'mid-b', 'mid-c', 'mid-d'];
const CASE_LIMIT_MS = 110_000;

/** Third number of the addresses of the routers. */
const routerNetwork = 10 + (process.pid % 240);

export const isTroubled = process.env.TROUBLE !== '0';

/**
 * @param network second number of the loopback addresses of the case; the third one of the routers' addresses follows from the
 * process, so that no two runs use the same ones
 * @param options numbers of routers, engines and plain servers, and the operator's configuration
 */
export async function startDeployment(network, { routers = 2, engines = 2, plain = 2, config = configuration() } = {}) {
	const store = new Store();
	const storeAddress = await store.listen(`127.${network}.0.1`);
	store.put('op/config', config);
	const servers = [];
	for (let index = 0; index < engines + plain; index++) {
		const service = index < engines ? ENGINE_SERVICE : PLAIN_SERVICE;
		const host = `127.${network}.0.${10 + index}`;
		const server = new Server({ id: `i-${index + 1}`, service, zone: ZONES[index % ZONES.length], store, host });
		await server.listen();
		servers.push(server);
	}
	const fleet = new Routers({
		count: routers,
		addressOf: (index) => `127.${network}.${routerNetwork}.${index}`,
		storeOf: () => storeAddress,
	});
	return { store, servers, fleet };
}

/** Runs a case, writes its record and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(recordUrl, run) {
	const lines = [];
	const record = (line) => lines.push(`${new Date().toISOString()} ${line}`);
	const started = [];
	let code = 2;
	setTimeout(() => {
		record('the case took too long');
		void finish(2);
	}, CASE_LIMIT_MS).unref();
	const finish = async (result) => {
		for (const { store, servers, fleet } of started.splice(0)) {
			await fleet.end();
			servers.forEach((server) => server.close());
			store.close();
		}
		record(`result ${result}: ${['the rule held', 'the rule was broken', 'the case could not run'][result]}`);
		writeFileSync(recordUrl, `${lines.join('\n')}\n`);
		process.exit(result);
	};
	try {
		record(`TROUBLE=${isTroubled ? 1 : 0}`);
		code = await run({ record, track: (deployment) => started.push(deployment) });
	} catch (error) {
		record(`could not run: ${error.stack}`);
	}
	await finish(code);
}
