import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, test } from '@jest/globals';
import * as grpc from '@grpc/grpc-js';
import { Effect } from 'effect';
import type { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { PeerServiceClient } from '../../peers/common/generated/masticloom/peers/v1/peers.js';
import { CertificateStore } from '../../peers/node/certificateStore.js';
import {
	type CertificateFolder,
	type KeyPair,
	makeAuthority,
	makeCertificate,
	makeCertificateFolder,
} from '../../peers/test/certificates.js';
import { formatAddress } from '../../settings/common/settings.js';
import { runDaemon } from '../node/daemon.js';
import { loadStartupInputs } from '../node/startUp.js';
import {
	type PausingBackend,
	type RunningRouter,
	sampleSettings,
	startPausingBackend,
	startPlatform,
	startRouter,
	waitUntil,
} from './routerFixture.js';

let backend: PausingBackend;
let platform: PlatformStandIn;

beforeEach(async () => {
	backend = await startPausingBackend();
	platform = await startPlatform(backend.url);
});

afterEach(async () => {
	backend.close();
	await platform.close();
});

async function startReadyRouter(): Promise<RunningRouter> {
	const router = await startRouter({ settings: sampleSettings(platform), certificates: undefined });
	await waitUntil(async () => (await router.queryAdmin('/readyz')).status === 200);
	return router;
}

describe('shutdown of a router', () => {
	// Guards against a shutdown that truncates a response in progress, and against a load balancer that still routes
	// callers to this router.
	test('answers the request in progress as a whole, and refuses new connections', async () => {
		const router = await startReadyRouter();
		const response = router.sendRequest();
		await backend.reached;
		router.sendSignal();
		await waitUntil(async () => (await router.queryAdmin('/readyz')).status === 503);
		await waitUntil(() =>
			router.sendRequest().then(
				() => false,
				() => true,
			),
		);
		backend.release();
		expect(await (await response).text()).toBe('first last');
		expect(await router.result).toEqual({ end: 'drained', cut: 0 });
	});

	// Guards against a router that an operator cannot stop, and against aborting a request without a may-have-run
	// verdict.
	test('answers the request in progress with its verdict at the second signal', async () => {
		const router = await startReadyRouter();
		const call = router.sendRequest();
		await backend.reached;
		router.sendSignal();
		router.sendSignal();
		const response = await call;
		expect([response.status, response.headers.get('masticloom-verdict')]).toEqual([502, 'may-have-run']);
		expect(await router.result).toEqual({ end: 'second-signal', cut: 1 });
	});

	// Guards against a truncated response that the caller accepts as complete.
	test('closes the connection of a response in progress at the second signal', async () => {
		const router = await startReadyRouter();
		const response = await router.sendRequest('long');
		const rejection = expect(response.text()).rejects.toThrow();
		router.sendSignal();
		router.sendSignal();
		await rejection;
		expect(await router.result).toEqual({ end: 'second-signal', cut: 1 });
	});
});

describe('start of a router', () => {
	// Guards against traffic before the router has its accounts, services and peers.
	test('is not ready while the platform cannot be read', async () => {
		const unreachable = { storeUrl: 'http://127.0.0.1:1', instanceListUrl: 'http://127.0.0.1:1/instances' };
		const router = await startRouter({ settings: sampleSettings(unreachable), certificates: undefined });
		const readiness = await router.queryAdmin('/readyz');
		expect(readiness.status).toBe(503);
		expect(readiness.text).toContain('no configuration is in force');
		expect(readiness.text).toContain('the instance list was not read');
		router.sendSignal();
		await router.result;
	});

	// Guards against a start without one of the addresses, and against reporting only the first failed one.
	test('fails and reports every address that is in use', async () => {
		const blockingServer = http.createServer();
		await new Promise<void>((resolve) => blockingServer.listen(0, '127.0.0.1', () => resolve()));
		const address = { host: '127.0.0.1', port: (blockingServer.address() as AddressInfo).port };
		const settings = { ...sampleSettings(platform), callers: { address }, peers: { address }, admin: { address } };
		const signals = { first: Effect.never, second: Effect.never };
		const faults = await Effect.runPromise(Effect.flip(runDaemon({ settings, certificates: undefined }, signals)));
		expect(faults.map((fault) => /the (\w+) address/.exec(fault)?.[1])).toEqual(['admin', 'peer', 'caller']);
		blockingServer.close();
	});

	// Guards against a router that cannot explain why requests of an account wait.
	test('explains an account of the configuration, and dumps each component', async () => {
		const router = await startReadyRouter();
		const response = router.sendRequest();
		await backend.reached;
		const explanation = JSON.parse((await router.queryAdmin('/explain?account=a')).text) as Record<string, unknown>;
		expect(explanation).toMatchObject({ account: 'a', share: 1, pools: [{ pool: 'p', running: 1, queued: 0 }] });
		expect((await router.queryAdmin('/state')).text).not.toContain('"error"');
		expect((await router.queryAdmin('/metrics')).text).toContain('masticloom_requests_in_progress 1');
		backend.release();
		await response;
		router.sendSignal();
		await router.result;
	});
});

describe('router with TLS', () => {
	let folder: CertificateFolder;
	let authority: KeyPair;

	beforeAll(async () => {
		folder = makeCertificateFolder();
		authority = await makeAuthority();
	});

	afterAll(() => folder.remove());

	// Guards against an address that accepts clients without a certificate although the settings have [tls].
	test('refuses peers and operators without a certificate', async () => {
		const paths = folder.write('router-1', await makeCertificate(authority, 'router-1'), authority);
		const certificates = CertificateStore.create(paths).unwrapOr(undefined);
		const router = await startRouter({ settings: { ...sampleSettings(platform), tls: paths }, certificates });
		await expect(router.queryAdmin('/state')).rejects.toThrow();
		const client = new PeerServiceClient(formatAddress(router.listening.peers), grpc.credentials.createInsecure());
		const code = await new Promise((resolve) => {
			client.fetchConfiguration({ haveVersion: 0 }, (error) => resolve(error?.code));
		});
		client.close();
		expect(code).toBe(grpc.status.UNAVAILABLE);
		router.sendSignal();
		await router.result;
	});

	// Guards against a router that starts although every peer refuses its certificate.
	test('does not start with a certificate of another instance or with unreadable files', async () => {
		const paths = folder.write('other', await makeCertificate(authority, 'router-2'), authority);
		const settings = (key: string): string =>
			[
				'[instance]\nname = router-1\nfailure_domain = east-1',
				'[callers]\naddress = 127.0.0.1:0\n[peers]\naddress = 127.0.0.1:0\n[admin]\naddress = 127.0.0.1:0',
				`[platform]\nstore_url = ${platform.storeUrl}\ninstance_list_url = ${platform.instanceListUrl}`,
				`[tls]\ncertificate = ${paths.certificate}\nkey = ${key}\nauthority = ${paths.authority}`,
			].join('\n');
		const faultsOf = (text: string): readonly string[] =>
			loadStartupInputs(folder.writeText('router.ini', text)).match({ Ok: () => [], Err: (faults) => faults });
		expect(faultsOf(settings(paths.key))).toEqual([
			'[tls] certificate: peers would refuse it: its certificate does not name the instance router-1',
		]);
		expect(faultsOf(settings(`${paths.key}.missing`))[0]).toMatch(/^\[tls\] key: cannot be read: ENOENT/);
		expect(loadStartupInputs(`${paths.key}.ini`).isErr).toBe(true);
	});
});
