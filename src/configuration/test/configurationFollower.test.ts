import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { setLogLevel } from '../../base/node/log.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { ConfigurationFollower, type RouterReference } from '../node/configurationFollower.js';
import { ConfigurationPublisher } from '../node/configurationPublisher.js';
import { changeUntilAccepted, createAccount, createContent } from './fixtures.js';

const POLL_MS = 50;

/** Followers that call each other directly; simulated heartbeats carry the versions. */
class Fleet {
	public readonly followers = new Map<string, ConfigurationFollower>();
	public readonly receivedVersions = new Map<string, number[]>();
	public readonly stores = new Map<string, EtcdStore>();
	private readonly fibers = new Map<string, Fiber.Fiber<never>>();
	private readonly references: RouterReference[] = [];

	public constructor(
		private readonly storeUrl: string,
		private readonly pollMs: number,
	) {}

	/** Lists routers as live before they start, so that the choice of watchers does not change during the start. */
	public listAsLive(names: readonly string[], failureDomain: string): void {
		this.references.push(...names.map((name) => ({ name, failureDomain })));
	}

	public add(name: string, failureDomain: string): ConfigurationFollower {
		const store = EtcdStore.create(this.storeUrl);
		const self = { name, failureDomain };
		const follower = ConfigurationFollower.create({
			store,
			self,
			liveRouters: () => this.references,
			fetchDocument: (peer, haveVersion) =>
				Effect.sync(() => this.followers.get(peer)?.documentFor(haveVersion).document),
			pollMs: this.pollMs,
		});
		const versions = this.receivedVersions.get(name) ?? [];
		follower.onDidChange(({ version }) => versions.push(version));
		this.receivedVersions.set(name, versions);
		this.stores.set(name, store);
		this.followers.set(name, follower);
		if (!this.references.some((reference) => reference.name === name)) {
			this.references.push(self);
		}
		this.fibers.set(name, Effect.runFork(follower.run()));
		return follower;
	}

	public heartbeat(): void {
		for (const [from, { version }] of this.followers) {
			for (const [to, follower] of this.followers) {
				if (from !== to) {
					follower.recordPeerVersion(from, version);
				}
			}
		}
	}

	public async remove(name: string): Promise<void> {
		const fiber = this.fibers.get(name);
		this.fibers.delete(name);
		this.followers.delete(name);
		this.references.splice(
			this.references.findIndex((reference) => reference.name === name),
			1,
		);
		if (fiber !== undefined) {
			await Effect.runPromise(Fiber.interrupt(fiber));
		}
	}

	public async close(): Promise<void> {
		for (const name of [...this.followers.keys()]) {
			await this.remove(name);
		}
	}
}

async function waitUntil(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise((resolve) => setTimeout(resolve, 2));
	}
}

describe('following the configuration', () => {
	let standIn: PlatformStandIn;
	let publisher: ConfigurationPublisher;
	let fleet: Fleet;

	beforeEach(async () => {
		setLogLevel('error');
		standIn = await PlatformStandIn.start();
		publisher = ConfigurationPublisher.create(EtcdStore.create(standIn.storeUrl));
		fleet = new Fleet(standIn.storeUrl, POLL_MS);
	});

	afterEach(async () => {
		await fleet.close();
		await standIn.close();
	});

	async function publish(id: string): Promise<number> {
		return (await changeUntilAccepted(publisher, (content) => createContent([...content.accounts, createAccount(id)])))
			.version;
	}

	test('no router returns to an older version during changes, outages and restarts', async () => {
		const names = ['r1', 'r2', 'r3', 'r4'];
		names.forEach((name, index) => fleet.add(name, index < 2 ? 'east-1' : 'east-2'));
		for (let index = 0; index < 30; index++) {
			await publish(`account-${index}`);
			fleet.heartbeat();
			if (index % 10 === 4) {
				await standIn.store.setFaults({ mode: 'refused' });
				await fleet.remove('r4');
				// A restarted router has no state, so its versions are recorded anew.
				fleet.receivedVersions.set('r4', []);
				fleet.add('r4', 'east-2');
				fleet.heartbeat();
				await standIn.store.setFaults({ mode: 'up' });
			}
		}
		await waitUntil(() => [...fleet.followers.values()].every(({ version }) => version === 30));
		for (const versions of fleet.receivedVersions.values()) {
			expect(versions).toEqual([...new Set(versions)].sort((a, b) => a - b));
		}
	});

	test('a router that restarts during a store outage takes the highest version of its peers', async () => {
		fleet.add('r1', 'east-1');
		await publish('one');
		await publish('two');
		await waitUntil(() => fleet.followers.get('r1')?.version === 2);
		await standIn.store.setFaults({ mode: 'refused' });
		const restarted = fleet.add('r2', 'east-1');
		expect(restarted.current).toBeUndefined();
		fleet.heartbeat();
		await waitUntil(() => restarted.version === 2);
		expect(restarted.current?.accounts.map(({ id }) => id).sort()).toEqual(['one', 'two']);
	});

	test('a store that hangs does not delay a version that a peer has', async () => {
		fleet.add('r1', 'east-1');
		await publish('one');
		await waitUntil(() => fleet.followers.get('r1')?.version === 1);
		await standIn.store.setFaults({ mode: 'hanging' });
		const restarted = fleet.add('r2', 'east-2');
		fleet.heartbeat();
		await waitUntil(() => restarted.version === 1);
		expect(standIn.counters.hung).toBeGreaterThan(0);
	});

	test('an older version from the store does not replace the active one', async () => {
		const first = fleet.add('r1', 'east-1');
		const second = fleet.add('r2', 'east-1');
		await publish('one');
		await publish('two');
		await waitUntil(() => first.version === 2 && second.version === 2);
		const other = await PlatformStandIn.start();
		try {
			const restored = ConfigurationPublisher.create(EtcdStore.create(other.storeUrl));
			await changeUntilAccepted(restored, () => createContent([createAccount('old')]));
			const head = await Effect.runPromise(EtcdStore.create(other.storeUrl).get('configuration/head'));
			const parts = await Effect.runPromise(EtcdStore.create(other.storeUrl).list('configuration/parts/'));
			const store = EtcdStore.create(standIn.storeUrl);
			for (const part of parts) {
				await Effect.runPromise(store.compareAndSwap(part.key, 0, part.value));
			}
			const current = await Effect.runPromise(store.get('configuration/head'));
			await Effect.runPromise(
				store.compareAndSwap('configuration/head', current?.revision ?? 0, head?.value ?? new Uint8Array()),
			);
			const readsBefore = standIn.counters.reads;
			await waitUntil(() => standIn.counters.reads > readsBefore + 20);
			expect([first.version, second.version]).toEqual([2, 2]);
			expect(first.current?.accounts).toHaveLength(2);
		} finally {
			await other.close();
		}
	});

	test('two routers of each failure domain watch, and a change costs each router only its changed part', async () => {
		await fleet.close();
		// The long poll interval keeps polls out of the counters, which then show the reads for the change alone.
		fleet = new Fleet(standIn.storeUrl, 1_000_000);
		await publish('account-0');
		const domains = { 'east-1': ['r0', 'r1', 'r2', 'r3', 'r4'], 'east-2': ['r5', 'r6', 'r7', 'r8', 'r9'] };
		Object.entries(domains).forEach(([domain, names]) => fleet.listAsLive(names, domain));
		Object.entries(domains).forEach(([domain, names]) => names.forEach((name) => fleet.add(name, domain)));
		const followers = [...fleet.followers.values()];
		await waitUntil(() => followers.every(({ version }) => version === 1) && standIn.counters.waitingWatches >= 4);
		expect(standIn.counters.waitingWatches).toBe(4);
		expect(followers.filter(({ isWatcher }) => isWatcher)).toHaveLength(4);
		const before = followers.map((follower) => follower.current?.services);
		const base = await Effect.runPromise(publisher.load());
		standIn.store.resetCounters();
		await Effect.runPromise(
			publisher.publish(base, createContent([...base.configuration.accounts, createAccount('fresh')])),
		);
		await waitUntil(() => followers.filter(({ isWatcher }) => isWatcher).every(({ version }) => version === 2));
		fleet.heartbeat();
		await waitUntil(() => followers.every(({ version }) => version === 2));
		// One list of the parts by the publisher, one part for each watcher, head and part for each of the other six.
		expect(standIn.counters.reads).toBe(1 + 4 + 2 * 6);
		followers.forEach((follower, index) => expect(follower.current?.services[0]).toBe(before[index]?.[0]));
	});
});
