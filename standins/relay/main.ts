/**
 * Runs the relay between routers. `--port` is the control port (0 picks a free port), `--delay-ms` the one-way delay of all
 * pairs.
 *
 * - `POST /control/pairs` takes `{"from", "to", "target"}` and returns `{"address"}`.
 * - `POST /control/partition` takes `{"groups": [["router-1"], ["router-2"]]}`; without groups all pairs are connected again.
 * - `GET /control/bytes` returns `{"router-1": {"sent", "received"}}`.
 */
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { json } from 'node:stream/consumers';
import { parseArgs } from 'node:util';
import { Relay, type PairSpec } from './relay.js';

const { values } = parseArgs({
	options: { port: { type: 'string', default: '0' }, 'delay-ms': { type: 'string', default: '0.5' } },
});
const relay = Relay.create(Number(values['delay-ms']));

async function control(request: IncomingMessage): Promise<unknown> {
	switch (`${request.method ?? ''} ${request.url ?? ''}`) {
		case 'POST /control/pairs':
			return { address: await relay.add((await json(request)) as PairSpec) };
		case 'POST /control/partition': {
			const { groups } = (await json(request)) as { readonly groups?: readonly (readonly string[])[] };
			relay.partition(groups ?? []);
			return {};
		}
		case 'GET /control/bytes':
			return relay.counts();
		default:
			return undefined;
	}
}

const server = createServer((request, response) => {
	control(request).then(
		(result) => {
			response.writeHead(result === undefined ? 404 : 200, { 'content-type': 'application/json' });
			response.end(JSON.stringify(result ?? { error: 'unknown command' }));
		},
		(error: unknown) => {
			response.writeHead(400, { 'content-type': 'application/json' });
			response.end(JSON.stringify({ error: String(error) }));
		},
	);
});
server.listen(Number(values.port), '127.0.0.1', () => {
	const { port } = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({ address: `http://127.0.0.1:${port}` })}\n`);
});
