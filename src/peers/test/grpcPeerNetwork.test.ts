import { afterEach, describe, expect, test } from '@jest/globals';
import * as grpc from '@grpc/grpc-js';
import { Effect } from 'effect';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { PeerFrame, PeerServiceClient } from '../common/generated/masticloom/peers/v1/peers.js';
import type { PeerStatus } from '../common/peerNetwork.js';
import { GrpcPeerNetwork } from '../node/grpcPeerNetwork.js';
import { INSECURE_PEERS } from '../node/peerSecurity.js';
import { type FrameStream, PeerSession } from '../node/peerSession.js';

let cleanup = DisposableStore.create();
afterEach(() => {
	cleanup.dispose();
	cleanup = DisposableStore.create();
});

interface ListeningNetwork {
	readonly network: GrpcPeerNetwork;
	readonly port: number;
}

async function listen(instance: string, listenPort = 0): Promise<ListeningNetwork> {
	const network = cleanup.add(
		GrpcPeerNetwork.create({
			...INSECURE_PEERS,
			instance,
			failureDomain: 'east-1',
			address: `127.0.0.1:${listenPort}`,
			serveConfiguration: () => ({ version: 0, document: new Uint8Array() }),
		}),
	);
	return { network, port: await network.listen() };
}

/** Opens a stream under the name of a peer, as a second or restarted process of the peer would. */
function openStream(
	port: number,
	instance: string,
	incarnation: string,
): grpc.ClientDuplexStream<PeerFrame, PeerFrame> {
	const client = new PeerServiceClient(`127.0.0.1:${port}`, grpc.credentials.createInsecure());
	const stream = client.connect();
	stream.on('error', () => undefined);
	stream.on('data', () => undefined);
	cleanup.add({
		dispose: () => {
			stream.cancel();
			client.close();
		},
	});
	stream.write(PeerFrame.fromPartial({ hello: { instance, incarnation, failureDomain: 'east-1' } }));
	return stream;
}

function waitForStatus(network: GrpcPeerNetwork, matches: (peer: PeerStatus) => boolean): Promise<PeerStatus> {
	return new Promise((resolve) => {
		const subscription = network.onDidChangePeer((peer) => {
			if (matches(peer)) {
				subscription.dispose();
				resolve(peer);
			}
		});
	});
}

describe('peer network', () => {
	// Guards against a router that stays without peers when it restarts while the instance list is unavailable: router-1
	// should open the streams to its peers, but its new process has no list of them.
	test('opens the stream to a new process of a peer that does not connect itself', async () => {
		const former = await listen('router-1');
		const other = await listen('router-2');
		const connected = waitForStatus(other.network, ({ state }) => state === 'connected');
		other.network.setEndpoints([{ instance: 'router-1', address: `127.0.0.1:${former.port}` }]);
		former.network.setEndpoints([{ instance: 'router-2', address: `127.0.0.1:${other.port}` }]);
		await connected;
		const refused = waitForStatus(other.network, (peer) => peer.refused);
		former.network.dispose();
		await refused;
		const restarted = await listen('router-1', former.port);
		const found = await waitForStatus(restarted.network, ({ state }) => state === 'connected');
		expect(found).toMatchObject({ instance: 'router-2', address: expect.stringContaining('127.0.0.1:') });
	});

	// Guards against a peer that is considered lost when its former stream ends after it opened a newer one, and against
	// frames that are sent on the former stream.
	test('uses the newer of two streams of a peer', async () => {
		const { network, port } = await listen('router-2');
		const first = waitForStatus(network, ({ session }) => session === 1);
		const former = openStream(port, 'router-1', 'one');
		await first;
		const second = waitForStatus(network, ({ session }) => session === 2);
		openStream(port, 'router-1', 'two');
		expect((await second).incarnation).toBe('two');
		const ended = new Promise((resolve) => former.on('end', resolve));
		await ended;
		expect(network.peers()).toMatchObject([{ instance: 'router-1', state: 'connected', session: 2 }]);
	});

	// Guards against a router that never detects that a peer is dead when the peer is the one that opens the stream: it
	// would keep slots reserved for the peer, as for one behind a partition.
	test('detects that a peer which opens the stream is dead', async () => {
		const { network, port } = await listen('router-2');
		const dead = await listen('router-1');
		network.setEndpoints([{ instance: 'router-1', address: `127.0.0.1:${dead.port}` }]);
		const connected = waitForStatus(network, ({ state }) => state === 'connected');
		dead.network.setEndpoints([{ instance: 'router-2', address: `127.0.0.1:${port}` }]);
		await connected;
		const refused = waitForStatus(network, (peer) => peer.refused);
		dead.network.dispose();
		expect(await refused).toMatchObject({ state: 'gone' });
	});
});

describe('peer session', () => {
	// Guards against unbounded memory growth while a peer does not read.
	test('ends when too many frames wait for the peer', async () => {
		let written = 0;
		const stream: FrameStream = {
			get writableLength() {
				return written;
			},
			write: () => ++written > 0,
			on: () => undefined,
		};
		const session = PeerSession.create(stream, () => ({}));
		const end = Effect.runPromise(session.run(() => undefined));
		for (let frame = 0; frame < 1_002; frame++) {
			session.post({ reports: [] });
			await new Promise(setImmediate);
		}
		expect(written).toBe(1_001);
		expect((await end).reason).toBe('silent');
	});
});
