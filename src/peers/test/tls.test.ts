import { afterAll, beforeAll, describe, expect, test } from '@jest/globals';
import * as grpc from '@grpc/grpc-js';
import { Effect } from 'effect';
import { DisposableStore } from '../../base/common/lifecycle.js';
import { PeerFrame, PeerServiceClient } from '../common/generated/masticloom/peers/v1/peers.js';
import { CertificateStore } from '../node/certificateStore.js';
import { GrpcPeerNetwork } from '../node/grpcPeerNetwork.js';
import { createMutualTls } from '../node/peerSecurity.js';
import {
	type CertificateFolder,
	type KeyPair,
	makeAuthority,
	makeCertificate,
	makeCertificateFolder,
} from './certificates.js';

let folder: CertificateFolder;
let authority: KeyPair;
let otherAuthority: KeyPair;

beforeAll(async () => {
	folder = makeCertificateFolder();
	authority = await makeAuthority();
	otherAuthority = await makeAuthority('another authority');
});

afterAll(() => folder.remove());

async function makeStore(name: string, pair?: KeyPair): Promise<CertificateStore> {
	const paths = folder.write(name, pair ?? (await makeCertificate(authority, name)), authority);
	return CertificateStore.create(paths).unwrapOrElse((faults) => {
		throw new Error(JSON.stringify(faults));
	});
}

interface Router {
	readonly network: GrpcPeerNetwork;
	readonly address: string;
}

async function startRouter(owner: DisposableStore, instance: string, pair?: KeyPair): Promise<Router> {
	const network = GrpcPeerNetwork.create({
		...createMutualTls(await makeStore(instance, pair)),
		instance,
		failureDomain: 'east-1',
		address: '127.0.0.1:0',
		serveConfiguration: () => ({ version: 7, document: new Uint8Array() }),
	});
	owner.add(network);
	return { network, address: `127.0.0.1:${await network.listen()}` };
}

async function withOwner(use: (owner: DisposableStore) => Promise<void>): Promise<void> {
	const owner = DisposableStore.create();
	try {
		await use(owner);
	} finally {
		owner.dispose();
	}
}

/** Opens a stream with a hello and returns the status code with which the router ends it, or OK for its first frame. */
function sendHello(address: string, credentials: grpc.ChannelCredentials, instance: string): Promise<grpc.status> {
	const client = new PeerServiceClient(address, credentials, { 'grpc.ssl_target_name_override': 'router-1' });
	return new Promise<grpc.status>((resolve) => {
		const stream = client.connect();
		stream.on('data', () => resolve(grpc.status.OK));
		stream.on('error', (error: grpc.ServiceError) => resolve(error.code));
		stream.write(PeerFrame.fromPartial({ hello: { instance, incarnation: 'a', failureDomain: 'east-1' } }));
	}).finally(() => client.close());
}

function clientCredentials(pair: KeyPair | undefined): grpc.ChannelCredentials {
	const root = Buffer.from(authority.cert);
	return pair === undefined
		? grpc.credentials.createSsl(root)
		: grpc.credentials.createSsl(root, Buffer.from(pair.private), Buffer.from(pair.cert));
}

describe('mutual TLS between peers', () => {
	test('connects routers of one authority', () =>
		withOwner(async (owner) => {
			const second = await startRouter(owner, 'router-2');
			const first = await startRouter(owner, 'router-1');
			const connected = new Promise((resolve) => {
				second.network.onDidChangePeer((peer) => peer.state === 'connected' && resolve(peer.instance));
			});
			first.network.setEndpoints([{ instance: 'router-2', address: second.address }]);
			expect(await connected).toBe('router-1');
		}));

	// Guards against a process outside the fleet, an operator or another router that impersonates a router.
	test('accepts only the router that the certificate names', () =>
		withOwner(async (owner) => {
			const { address } = await startRouter(owner, 'router-1');
			const router = clientCredentials(await makeCertificate(authority, 'router-2'));
			const operator = clientCredentials(await makeCertificate(authority, 'router-2', 'operator'));
			const outsider = clientCredentials(await makeCertificate(otherAuthority, 'router-2'));
			expect(await sendHello(address, router, 'router-2')).toBe(grpc.status.OK);
			expect(await sendHello(address, router, 'router-3')).toBe(grpc.status.PERMISSION_DENIED);
			expect(await sendHello(address, operator, 'router-2')).toBe(grpc.status.PERMISSION_DENIED);
			expect(await sendHello(address, outsider, 'router-2')).toBe(grpc.status.UNAVAILABLE);
			expect(await sendHello(address, clientCredentials(undefined), 'router-2')).toBe(grpc.status.UNAVAILABLE);
			expect(await sendHello(address, grpc.credentials.createInsecure(), 'router-2')).toBe(grpc.status.UNAVAILABLE);
		}));

	// Guards against sending demand to, or accepting a configuration from, a process that only has a router's address.
	test('calls only the router that the certificate names', () =>
		withOwner(async (owner) => {
			const caller = await startRouter(owner, 'router-1');
			const fetchFrom = async (instance: string, pair: KeyPair): Promise<string> => {
				const { address } = await startRouter(owner, instance, pair);
				caller.network.setEndpoints([{ instance: 'router-2', address }]);
				const exit = await Effect.runPromiseExit(caller.network.fetchConfiguration('router-2', 0));
				return exit._tag;
			};
			expect(await fetchFrom('genuine', await makeCertificate(authority, 'router-2'))).toBe('Success');
			expect(await fetchFrom('other-name', await makeCertificate(authority, 'router-3'))).toBe('Failure');
			expect(await fetchFrom('other-authority', await makeCertificate(otherAuthority, 'router-2'))).toBe('Failure');
		}));
});

describe('CertificateStore', () => {
	// Guards against routers that cannot connect after the platform has replaced the certificates, until all of them
	// restart.
	test('presents replaced certificates on new connections', () =>
		withOwner(async (owner) => {
			const store = await makeStore('router-1');
			const network = GrpcPeerNetwork.create({
				...createMutualTls(store),
				instance: 'router-1',
				failureDomain: 'east-1',
				address: '127.0.0.1:0',
				serveConfiguration: () => ({ version: 7, document: new Uint8Array() }),
			});
			owner.add(network);
			const address = `127.0.0.1:${await network.listen()}`;
			const client = await makeCertificate(authority, 'router-2');
			folder.write('router-1', await makeCertificate(otherAuthority, 'router-1'), otherAuthority);
			expect(await sendHello(address, clientCredentials(client), 'router-2')).toBe(grpc.status.OK);
			store.reload();
			expect(await sendHello(address, clientCredentials(client), 'router-2')).toBe(grpc.status.UNAVAILABLE);
		}));

	// Guards against a router without usable certificates while the files are being replaced one after the other.
	test('keeps the current certificates while the files do not match', async () => {
		const store = await makeStore('router-4');
		const before = store.current;
		const next = await makeCertificate(authority, 'router-4');
		folder.write('router-4', { cert: next.cert, private: before.key.toString() }, authority);
		store.reload();
		expect(store.current).toBe(before);
		folder.write('router-4', next, authority);
		store.reload();
		expect(store.current.certificate.toString()).toBe(next.cert);
	});

	// Guards against a start with files with which every handshake fails.
	test('names each file that cannot be used', () => {
		const paths = { ...folder.write('router-5', authority, authority), key: 'missing.key' };
		const keys = CertificateStore.create(paths).match({ Ok: () => [], Err: (faults) => faults.map(({ key }) => key) });
		expect(keys).toEqual(['key']);
	});
});
