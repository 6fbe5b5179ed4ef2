import * as https from 'node:https';
import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { CertificateStore } from '../../peers/node/certificateStore.js';
import { type KeyPair, makeAuthority, makeCertificate, makeCertificateFolder } from '../../peers/test/certificates.js';
import { type AdminSources, serveAdmin } from '../node/adminServer.js';
import { createTlsServerFactory } from '../node/tlsServer.js';

const SOURCES: AdminSources = {
	readiness: [],
	dumps: {},
	accountFacts: () => undefined,
	metrics: { contentType: 'text/plain', render: () => Promise.resolve('') },
};

/** @returns the HTTP status, or `refused` when the connection broke */
function getState(port: number, authority: KeyPair, client: KeyPair | undefined): Promise<number | 'refused'> {
	return new Promise((resolve) => {
		const options = {
			host: '127.0.0.1',
			port,
			path: '/state',
			agent: false,
			ca: authority.cert,
			cert: client?.cert,
			key: client?.private,
			checkServerIdentity: () => undefined,
		};
		https
			.get(options, (response) => {
				response.resume();
				resolve(response.statusCode ?? 0);
			})
			.on('error', () => resolve('refused'));
	});
}

describe('admin address with TLS', () => {
	// Guards against unauthenticated clients that read the state or the readiness of the fleet.
	test('answers only clients with a certificate of the authority, also after it was replaced', async () => {
		const folder = makeCertificateFolder();
		const authority = await makeAuthority();
		const nextAuthority = await makeAuthority('next authority');
		const paths = folder.write('router-1', await makeCertificate(authority, 'router-1'), authority);
		const store = CertificateStore.create(paths).unwrapOrElse((faults) => {
			throw new Error(JSON.stringify(faults));
		});
		const operator = await makeCertificate(authority, 'ana', 'operator');
		const nextOperator = await makeCertificate(nextAuthority, 'ana', 'operator');
		const use = async (port: number): Promise<void> => {
			expect(await getState(port, authority, operator)).toBe(200);
			expect(await getState(port, authority, nextOperator)).toBe('refused');
			expect(await getState(port, authority, undefined)).toBe('refused');
			folder.write('router-1', await makeCertificate(nextAuthority, 'router-1'), nextAuthority);
			store.reload();
			expect(await getState(port, nextAuthority, nextOperator)).toBe(200);
			expect(await getState(port, nextAuthority, operator)).toBe('refused');
		};
		const listening = serveAdmin({ host: '127.0.0.1', port: 0 }, SOURCES, createTlsServerFactory(store));
		await Effect.runPromise(Effect.scoped(Effect.flatMap(listening, ({ port }) => Effect.promise(() => use(port)))));
		folder.remove();
	});
});
