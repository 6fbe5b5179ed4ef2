import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { StoreError } from '../common/keyValueStore.js';
import { EtcdStore } from '../node/etcdStore.js';

/** Starts a server that sends the same response to every call. */
async function withServer<T>(status: number, body: string, use: (store: EtcdStore) => Promise<T>): Promise<T> {
	const server = http.createServer((request, response) => {
		request.resume();
		response.writeHead(status).end(body);
	});
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
	try {
		return await use(EtcdStore.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`));
	} finally {
		server.closeAllConnections();
		server.close();
	}
}

function writeError(store: EtcdStore): Promise<StoreError> {
	return Effect.runPromise(Effect.flip(store.compareAndSwap('a', 0, Buffer.from('x'))));
}

describe('EtcdStore when the store answers with an error or invalid content', () => {
	// Guards against an exception in a listener, which would terminate the router process.
	test.each([
		[200, '<html>maintenance</html>\n'],
		[200, '{"result":{"events":[{"kv":5}]}}\n'],
		[503, 'unavailable'],
	])('a watch that gets %d %s fails', (status, body) =>
		withServer(status, body, async (store) => {
			const error = await Effect.runPromise(Effect.flip(store.watch('a', () => undefined)));
			expect(error.message).not.toBe('');
		}),
	);

	// Guards against treating a write that took effect as rejected, which would run a request twice.
	test.each([
		[500, ''],
		[503, '{"message":"timed out"}'],
		[200, 'cut off {'],
		[200, ''],
		[200, '{"succeeded":true}'],
		[408, '{"message":"canceled"}'],
	])('a write that gets %d %s may have taken effect', (status, body) =>
		withServer(status, body, async (store) => expect((await writeError(store)).outcome).toBe('unknown')),
	);

	// Guards against treating a key as absent because the response is not the service's.
	test.each([[''], ['{}'], ['{"error":"proxy"}'], ['null']])('a read that gets %p fails', (body) =>
		withServer(200, body, async (store) => {
			expect((await Effect.runPromise(Effect.flip(store.get('a')))).message).not.toBe('');
		}),
	);

	test.each([
		[404, '{"message":"requested lease not found"}'],
		[429, ''],
	])('a write that gets %d %s had no effect', (status, body) =>
		withServer(status, body, async (store) => expect((await writeError(store)).outcome).toBe('no-effect')),
	);
});
