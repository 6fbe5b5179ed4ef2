import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { HEAD_KEY, listParts, partKey } from '../common/configurationHead.js';
import { ConfigurationPublisher } from '../node/configurationPublisher.js';
import { EMPTY_SNAPSHOT } from '../node/configurationSnapshot.js';
import { changeUntilAccepted, createAccount, createContent, runPublish, withLostResponse } from './fixtures.js';

const CHANGES_PER_OPERATOR = 100;
// The test makes about 2,000 store calls. On a busy machine they take longer than the default time limit of a test.
const RACE_LIMIT_MS = 180_000;

describe('publishing a configuration', () => {
	let standIn: PlatformStandIn;

	beforeEach(async () => {
		standIn = await PlatformStandIn.start();
	});

	afterEach(() => standIn.close());

	function createPublisher(): ConfigurationPublisher {
		return ConfigurationPublisher.create(EtcdStore.create(standIn.storeUrl));
	}

	async function storedParts(): Promise<readonly string[]> {
		const parts = await Effect.runPromise(EtcdStore.create(standIn.storeUrl).list('configuration/parts/'));
		return parts.map(({ key }) => key);
	}

	test(
		'200 concurrent changes with lost answers are each accepted exactly once',
		async () => {
			await changeUntilAccepted(createPublisher(), () => createContent([]));
			await standIn.store.setFaults({ lose_answers: 0.1, seed: 11 });
			const race = async (name: string): Promise<readonly number[]> => {
				const publisher = createPublisher();
				const versions: number[] = [];
				for (let index = 0; index < CHANGES_PER_OPERATOR; index++) {
					const added = createAccount(`${name}-${index}`);
					const { version } = await changeUntilAccepted(publisher, (content) =>
						createContent([...content.accounts, added]),
					);
					versions.push(version);
				}
				return versions;
			};
			const versions = (await Promise.all([race('left'), race('right')])).flat();
			await standIn.store.setFaults({ lose_answers: 0 });
			const { configuration, head } = await Effect.runPromise(createPublisher().load());
			expect([...versions].sort((a, b) => a - b)).toEqual(versions.map((_, index) => index + 2));
			expect(configuration.version).toBe(1 + 2 * CHANGES_PER_OPERATOR);
			expect(configuration.accounts).toHaveLength(2 * CHANGES_PER_OPERATOR);
			expect(standIn.counters.lost).toBeGreaterThan(0);
			// Neither operator may have removed a part that the head refers to.
			expect(await storedParts()).toEqual(
				expect.arrayContaining(listParts(head.parts).map(({ name }) => partKey(name))),
			);
		},
		RACE_LIMIT_MS,
	);

	test('a conflict names the changes of the other operator, and the next change removes unused parts', async () => {
		await changeUntilAccepted(createPublisher(), () => createContent([createAccount('acme'), createAccount('gone')]));
		const base = await Effect.runPromise(createPublisher().load());
		await changeUntilAccepted(createPublisher(), () =>
			createContent([createAccount('acme', 5), createAccount('fresh')]),
		);
		const outcome = await runPublish(createPublisher().publish(base, createContent([createAccount('acme', 7)])));
		expect(outcome).toMatchObject({ kind: 'conflict', version: 2 });
		expect(outcome.changes).toEqual([
			{ section: 'accounts', id: 'gone', kind: 'removed', properties: [] },
			{ section: 'accounts', id: 'acme', kind: 'changed', properties: ['share'] },
			{ section: 'accounts', id: 'fresh', kind: 'added', properties: [] },
		]);
		await changeUntilAccepted(createPublisher(), () => createContent([createAccount('acme', 9)]));
		const { head } = await Effect.runPromise(createPublisher().load());
		expect([...(await storedParts())].sort()).toEqual(
			listParts(head.parts)
				.map(({ name }) => partKey(name))
				.sort(),
		);
	});

	test('a change whose response was lost is found even after another change', async () => {
		const store = EtcdStore.create(standIn.storeUrl);
		const other = async (): Promise<void> => {
			await changeUntilAccepted(createPublisher(), ({ accounts }) =>
				createContent([...accounts, createAccount('other')]),
			);
		};
		const publisher = ConfigurationPublisher.create(withLostResponse(store, (key) => key === HEAD_KEY, other));
		const outcome = await runPublish(publisher.publish(EMPTY_SNAPSHOT, createContent([createAccount('mine')])));
		expect(outcome).toMatchObject({ version: 1 });
		const { configuration } = await Effect.runPromise(createPublisher().load());
		expect(configuration.version).toBe(2);
		expect(configuration.accounts.map(({ id }) => id).sort()).toEqual(['mine', 'other']);
	});

	test('a store that stays down is reported as not published, or as unknown after a lost response', async () => {
		const outage = (): Promise<void> => standIn.store.setFaults({ mode: 'refused' });
		const store = withLostResponse(EtcdStore.create(standIn.storeUrl), (key) => key === HEAD_KEY, outage);
		const publisher = ConfigurationPublisher.create(store, 100);
		const content = createContent([createAccount('acme')]);
		expect(await runPublish(publisher.publish(EMPTY_SNAPSHOT, content))).toMatchObject({ kind: 'unknown' });
		expect(await runPublish(publisher.publish(EMPTY_SNAPSHOT, content))).toMatchObject({ kind: 'not-published' });
	});

	test('publishing the same content again creates no new version', async () => {
		const content = createContent([createAccount('acme'), createAccount('zeta')]);
		await changeUntilAccepted(createPublisher(), () => content);
		const again = await changeUntilAccepted(createPublisher(), () =>
			createContent([createAccount('zeta'), createAccount('acme')]),
		);
		expect(again).toMatchObject({ version: 1, changes: [] });
	});
});
