import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect, Fiber } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { setLogLevel } from '../../base/node/log.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { ConfigurationFollower, type RouterReference } from '../node/configurationFollower.js';
import { ConfigurationPublisher } from '../node/configurationPublisher.js';
import { accountOf, changeUntilAccepted, contentOf } from './fixtures.js';

const POLL_MS = 50;

/** Followers that reach each other by function calls; heartbeats carry the versions. */
class Fleet {
	public readonly followers = new Map<string, ConfigurationFollower>();
	public readonly seen = new Map<string, number[]>();
	public readonly stores = new Map<string, EtcdStore>();
	private readonly fibers = new Map<string, Fiber.Fiber<never>>();
	private readonly references: RouterReference[] = [];

	public constructor(
		private readonly storeUrl: string,
		private readonly pollMs: number,
	) {}

	/** Makes routers known to all others before they start, so that roles do not change on the way. */
	public announce(names: readonly string[], failureDomain: string): void {
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
		const versions = this.seen.get(name) ?? [];
		follower.onDidChange(({ version }) => versions.push(version));
		this.seen.set(name, versions);
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

async function until(holds: () => boolean): Promise<void> {
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
		return (await changeUntilAccepted(publisher, (content) => contentOf([...content.accounts, accountOf(id)]))).version;
	}

	test('no router goes back while changes, outages and restarts are mixed', async () => {
		const names = ['r1', 'r2', 'r3', 'r4'];
		names.forEach((name, index) => fleet.add(name, index < 2 ? 'east-1' : 'east-2'));
		for (let index = 0; index < 30; index++) {
			await publish(`account-${index}`);
			fleet.heartbeat();
			if (index % 10 === 4) {
				await standIn.store.setFaults({ mode: 'refused' });
				await fleet.remove('r4');
				// The reader restarts without memory, so its versions are counted afresh.
				fleet.seen.set('r4', []);
				fleet.add('r4', 'east-2');
				fleet.heartbeat();
				await standIn.store.setFaults({ mode: 'up' });
			}
		}
		await until(() => [...fleet.followers.values()].every(({ version }) => version === 30));
		for (const versions of fleet.seen.values()) {
			expect(versions).toEqual([...new Set(versions)].sort((a, b) => a - b));
		}
	});

	test('a router that restarts during an outage takes the highest version that a peer has', async () => {
		fleet.add('r1', 'east-1');
		await publish('one');
		await publish('two');
		await until(() => fleet.followers.get('r1')?.version === 2);
		await standIn.store.setFaults({ mode: 'refused' });
		const restarted = fleet.add('r2', 'east-1');
		expect(restarted.current).toBeUndefined();
		fleet.heartbeat();
		await until(() => restarted.version === 2);
		expect(restarted.current?.accounts.map(({ id }) => id).sort()).toEqual(['one', 'two']);
	});

	test('a store that hangs does not hold up a version that a peer has', async () => {
		fleet.add('r1', 'east-1');
		await publish('one');
		await until(() => fleet.followers.get('r1')?.version === 1);
		await standIn.store.setFaults({ mode: 'hanging' });
		const restarted = fleet.add('r2', 'east-2');
		fleet.heartbeat();
		await until(() => restarted.version === 1);
		expect(standIn.counters.hung).toBeGreaterThan(0);
	});

	test('an older version from the store does not replace the one in force', async () => {
		const follower = fleet.add('r1', 'east-1');
		const twin = fleet.add('r2', 'east-1');
		await publish('one');
		await publish('two');
		await until(() => follower.version === 2 && twin.version === 2);
		const other = await PlatformStandIn.start();
		try {
			const restored = ConfigurationPublisher.create(EtcdStore.create(other.storeUrl));
			await changeUntilAccepted(restored, () => contentOf([accountOf('old')]));
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
			await until(() => standIn.counters.reads > readsBefore + 20);
			expect([follower.version, twin.version]).toEqual([2, 2]);
			expect(follower.current?.accounts).toHaveLength(2);
		} finally {
			await other.close();
		}
	});

	test('two routers of each failure domain watch, and a change costs each router its changed part only', async () => {
		await fleet.close();
		// Polls are out of the way, so that the counters show what the change itself costs.
		fleet = new Fleet(standIn.storeUrl, 1_000_000);
		await publish('account-0');
		const domains = { 'east-1': ['r0', 'r1', 'r2', 'r3', 'r4'], 'east-2': ['r5', 'r6', 'r7', 'r8', 'r9'] };
		Object.entries(domains).forEach(([domain, names]) => fleet.announce(names, domain));
		Object.entries(domains).forEach(([domain, names]) => names.forEach((name) => fleet.add(name, domain)));
		const followers = [...fleet.followers.values()];
		await until(() => followers.every(({ version }) => version === 1) && standIn.counters.waitingWatches >= 4);
		expect(standIn.counters.waitingWatches).toBe(4);
		expect(followers.filter(({ isWatcher }) => isWatcher)).toHaveLength(4);
		const before = followers.map((follower) => follower.current?.services);
		const base = await Effect.runPromise(publisher.load());
		standIn.store.resetCounters();
		await Effect.runPromise(publisher.publish(base, contentOf([...base.configuration.accounts, accountOf('fresh')])));
		await until(() => followers.filter(({ isWatcher }) => isWatcher).every(({ version }) => version === 2));
		fleet.heartbeat();
		await until(() => followers.every(({ version }) => version === 2));
		// The operator's list of parts; one part per watcher; head and part for each of the other six.
		expect(standIn.counters.reads).toBe(1 + 4 + 2 * 6);
		followers.forEach((follower, index) => expect(follower.current?.services[0]).toBe(before[index]?.[0]));
	});
});
