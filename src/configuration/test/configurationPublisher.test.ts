import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { PlatformStandIn } from '../../../standins/platform/platformStandIn.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { HEAD_KEY, listParts, partKey } from '../common/configurationHead.js';
import { ConfigurationPublisher } from '../node/configurationPublisher.js';
import { EMPTY_SNAPSHOT } from '../node/configurationSnapshot.js';
import { accountOf, attempt, changeUntilAccepted, contentOf, withLostResponse } from './fixtures.js';

const CHANGES_PER_OPERATOR = 100;
// About 2,000 store calls; on a busy machine they take longer than the usual limit of a test.
const RACE_LIMIT_MS = 180_000;

describe('publishing a configuration', () => {
	let standIn: PlatformStandIn;

	beforeEach(async () => {
		standIn = await PlatformStandIn.start();
	});

	afterEach(() => standIn.close());

	function operator(): ConfigurationPublisher {
		return ConfigurationPublisher.create(EtcdStore.create(standIn.storeUrl));
	}

	async function storedParts(): Promise<readonly string[]> {
		const parts = await Effect.runPromise(EtcdStore.create(standIn.storeUrl).list('configuration/parts/'));
		return parts.map(({ key }) => key);
	}

	test(
		'200 raced changes with lost answers are each accepted exactly once',
		async () => {
			await changeUntilAccepted(operator(), () => contentOf([]));
			await standIn.store.setFaults({ lose_answers: 0.1, seed: 11 });
			const race = async (name: string): Promise<readonly number[]> => {
				const publisher = operator();
				const versions: number[] = [];
				for (let index = 0; index < CHANGES_PER_OPERATOR; index++) {
					const added = accountOf(`${name}-${index}`);
					const { version } = await changeUntilAccepted(publisher, (content) =>
						contentOf([...content.accounts, added]),
					);
					versions.push(version);
				}
				return versions;
			};
			const versions = (await Promise.all([race('left'), race('right')])).flat();
			await standIn.store.setFaults({ lose_answers: 0 });
			const { configuration, head } = await Effect.runPromise(operator().load());
			expect([...versions].sort((a, b) => a - b)).toEqual(versions.map((_, index) => index + 2));
			expect(configuration.version).toBe(1 + 2 * CHANGES_PER_OPERATOR);
			expect(configuration.accounts).toHaveLength(2 * CHANGES_PER_OPERATOR);
			expect(standIn.counters.lost).toBeGreaterThan(0);
			// A part that the head needs must never have been removed by the other operator.
			expect(await storedParts()).toEqual(
				expect.arrayContaining(listParts(head.parts).map(({ name }) => partKey(name))),
			);
		},
		RACE_LIMIT_MS,
	);

	test('a conflict names what the other operator changed, and the next change removes the parts it left', async () => {
		await changeUntilAccepted(operator(), () => contentOf([accountOf('acme'), accountOf('gone')]));
		const base = await Effect.runPromise(operator().load());
		await changeUntilAccepted(operator(), () => contentOf([accountOf('acme', 5), accountOf('fresh')]));
		const outcome = await attempt(operator().publish(base, contentOf([accountOf('acme', 7)])));
		expect(outcome).toMatchObject({ kind: 'conflict', version: 2 });
		expect(outcome.changes).toEqual([
			{ section: 'accounts', id: 'gone', kind: 'removed', properties: [] },
			{ section: 'accounts', id: 'acme', kind: 'changed', properties: ['share'] },
			{ section: 'accounts', id: 'fresh', kind: 'added', properties: [] },
		]);
		await changeUntilAccepted(operator(), () => contentOf([accountOf('acme', 9)]));
		const { head } = await Effect.runPromise(operator().load());
		expect([...(await storedParts())].sort()).toEqual(
			listParts(head.parts)
				.map(({ name }) => partKey(name))
				.sort(),
		);
	});

	test('a lost answer is settled although another change followed before it was noticed', async () => {
		const store = EtcdStore.create(standIn.storeUrl);
		const other = async (): Promise<void> => {
			await changeUntilAccepted(operator(), ({ accounts }) => contentOf([...accounts, accountOf('other')]));
		};
		const publisher = ConfigurationPublisher.create(withLostResponse(store, (key) => key === HEAD_KEY, other));
		const outcome = await attempt(publisher.publish(EMPTY_SNAPSHOT, contentOf([accountOf('mine')])));
		expect(outcome).toMatchObject({ version: 1 });
		const { configuration } = await Effect.runPromise(operator().load());
		expect(configuration.version).toBe(2);
		expect(configuration.accounts.map(({ id }) => id).sort()).toEqual(['mine', 'other']);
	});

	test('a store that stays down is reported as not published, and as unknown when an answer was lost', async () => {
		const outage = (): Promise<void> => standIn.store.setFaults({ mode: 'refused' });
		const store = withLostResponse(EtcdStore.create(standIn.storeUrl), (key) => key === HEAD_KEY, outage);
		const publisher = ConfigurationPublisher.create(store, 100);
		const content = contentOf([accountOf('acme')]);
		expect(await attempt(publisher.publish(EMPTY_SNAPSHOT, content))).toMatchObject({ kind: 'unknown' });
		expect(await attempt(publisher.publish(EMPTY_SNAPSHOT, content))).toMatchObject({ kind: 'not-published' });
	});

	test('applying the same content again makes no new version', async () => {
		const content = contentOf([accountOf('acme'), accountOf('zeta')]);
		await changeUntilAccepted(operator(), () => content);
		const again = await changeUntilAccepted(operator(), () => contentOf([accountOf('zeta'), accountOf('acme')]));
		expect(again).toMatchObject({ version: 1, changes: [] });
	});
});
