import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { GrpcPeerNetwork } from '../node/grpcPeerNetwork.js';
import { INSECURE_PEERS } from '../node/peerSecurity.js';

const DOCUMENT_BYTES = 12_000_000;

// Guards against the library's default limit of 4 MiB per message, which 19,000 accounts with two tokens each exceed.
test('a peer serves a configuration of the size that the system is designed for', async () => {
	const owner = DisposableStore.create();
	const startRouter = async (instance: string, document: Uint8Array): Promise<readonly [GrpcPeerNetwork, string]> => {
		const network = GrpcPeerNetwork.create({
			...INSECURE_PEERS,
			instance,
			failureDomain: 'east-1',
			address: '127.0.0.1:0',
			serveConfiguration: () => ({ version: 7, document }),
		});
		return [owner.add(network), `127.0.0.1:${await network.listen()}`];
	};
	try {
		const [client] = await startRouter('router-1', new Uint8Array());
		const [, address] = await startRouter('router-2', new Uint8Array(DOCUMENT_BYTES));
		client.setEndpoints([{ instance: 'router-2', address }]);
		const response = await Effect.runPromise(client.fetchConfiguration('router-2', 0));
		expect(response.document).toHaveLength(DOCUMENT_BYTES);
	} finally {
		owner.dispose();
	}
});
