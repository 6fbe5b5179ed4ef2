// Starts stream engines as processes and records what they run.
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import process from 'node:process';
import { ENGINE_HOST, ROOT } from './fleet.mjs';

const script = join(ROOT, 'review/common/streamEngine.mjs');

export async function startEngine(fleet, id, events, unframedOneIn, port = 0) {
	const command = [script, ENGINE_HOST, String(port), id, String(events), String(unframedOneIn)];
	const child = spawn(process.execPath, command, { stdio: ['ignore', 'pipe', 'inherit'] });
	const engine = { id, child, close: () => child.kill('SIGKILL') };
	await new Promise((resolve) => {
		let rest = '';
		child.stdout.on('data', (chunk) => {
			const lines = (rest + chunk.toString()).split('\n');
			rest = lines.pop();
			for (const line of lines) {
				const [what, value] = line.split(' ');
				if (what === 'listening') {
					engine.port = Number(value);
					engine.address = `${ENGINE_HOST}:${value}`;
					resolve();
				} else if (what === 'whole') {
					fleet.record('ran-whole', { engine: id, id: value });
				} else {
					fleet.record(what, { engine: id, id: value });
				}
			}
		});
	});
	return engine;
}

export const DRAFT_ROUTE = {
	name: 'draft',
	prefix: '/draft/',
	service: 'scribes',
	type: 'streaming',
	timeout_ms: 15_000,
	slo_ms: 800,
	tpot_slo_ms: 500,
	max_attempts: 1,
};

export const SCRIBES = { name: 'scribes', health_path: '/healthz', max_conns: 360 };
