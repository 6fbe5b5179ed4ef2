import { describe, expect, test } from '@jest/globals';
import * as fc from 'fast-check';
import { canonicalJson } from '../common/canonicalJson.js';
import { joinParts, splitIntoParts } from '../common/configurationParts.js';
import { validateContent } from '../common/configurationValidation.js';
import type { ConfigurationContent } from '../common/model.js';
import { decodeDocument, encodeDocument } from '../node/configurationDocument.js';
import { createAccount, createContent } from './fixtures.js';

const SEED = 20_261;

// Found by a search over 60 million names: both have the short key 181177227710981.
const COLLIDING_IDENTIFIERS = ['client-ze52g1-y', 'client-4l0ybq-1'] as const;

function listFaults(input: unknown): readonly string[] {
	const result = validateContent(input);
	return result.isErr ? result.error.map(({ path, reason }) => `${path}: ${reason}`) : [];
}

const identifier = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,20}$/);
const share = fc.double({ min: 1, max: 1000, noNaN: true });

const validContent: fc.Arbitrary<ConfigurationContent> = fc
	.uniqueArray(fc.tuple(identifier, share), { selector: ([id]) => id, maxLength: 30 })
	.map((accounts) =>
		createContent(accounts.map(([id, weight]) => ({ ...createAccount(id, weight), tokenDigests: [] }))),
	);

describe('configuration input', () => {
	test('no input makes the validation throw, and each fault names a reason', () => {
		const shaped = fc.record({
			accounts: fc.oneof(fc.array(fc.oneof(fc.constant(createAccount('a')), fc.anything())), fc.anything()),
			services: fc.oneof(fc.constant(createContent([]).services), fc.anything()),
			pools: fc.oneof(
				fc.constant(createContent([]).pools),
				fc.array(fc.record({ id: fc.string(), slack: fc.double() })),
			),
			backendServers: fc.oneof(fc.constant([]), fc.array(fc.record({ id: fc.string(), url: fc.webUrl() }))),
		});
		fc.assert(
			fc.property(fc.oneof(fc.anything(), shaped), (input) => {
				const result = validateContent(input);
				return result.isOk || (result.error.length > 0 && result.error.every(({ reason }) => reason !== ''));
			}),
			{ seed: SEED, numRuns: 2_000 },
		);
	});

	test('valid content is unchanged by its parts and its document, whatever its order', () => {
		fc.assert(
			fc.property(validContent, fc.integer({ min: 1 }), (content, version) => {
				const valid = validateContent(content).unwrapOr(undefined);
				const reversed = validateContent({ ...content, accounts: [...content.accounts].reverse() });
				expect(canonicalJson(reversed.unwrapOr(undefined))).toBe(canonicalJson(valid));
				const parts = new Map(
					splitIntoParts(valid ?? content).map((part) => [`${part.section}/${part.bucket}`, part.text]),
				);
				const joined = joinParts((section, bucket) => JSON.parse(parts.get(`${section}/${bucket}`) ?? '[]') as never[]);
				expect(canonicalJson(validateContent(joined).unwrapOr(undefined))).toBe(canonicalJson(valid));
				expect(Buffer.from(encodeDocument({ version, ...joined })).toString()).toBe(
					canonicalJson({ version, ...joined }),
				);
				const document = decodeDocument(encodeDocument({ version, ...joined }));
				expect(canonicalJson(document.unwrapOr(undefined))).toBe(canonicalJson({ version, ...joined }));
			}),
			{ seed: SEED, numRuns: 200 },
		);
	});

	test('a single invalid value is named by its path', () => {
		const invalidProperties: readonly (readonly [string, unknown])[] = [
			['share', 0],
			['share', 'many'],
			['id', 'a/b'],
			['tokenDigests', ['00']],
			['services', ['nowhere']],
			['colour', 'red'],
		];
		fc.assert(
			fc.property(fc.nat({ max: 19 }), fc.constantFrom(...invalidProperties), (index, [property, value]) => {
				const accounts = Array.from({ length: 20 }, (_, place) => createAccount(`account-${place}`));
				const accountsWithFault = accounts.map((account, place) =>
					place === index ? { ...account, [property]: value } : account,
				);
				const faults = listFaults(createContent(accountsWithFault));
				expect(faults).toHaveLength(1);
				expect(faults[0]).toMatch(new RegExp(`^accounts\\[${index}\\]\\.${property}(\\[0\\])?: `));
			}),
			{ seed: SEED, numRuns: 200 },
		);
	});

	test('all faults of a document are listed together', () => {
		const content = createContent([
			createAccount('acme'),
			{ ...createAccount('acme'), services: ['drafting', 'drafting'] },
		]);
		const server = { id: 'engine-2', pool: 'nowhere', url: 'http://engine.example:80', slots: 1, checksFencing: true };
		expect(listFaults({ ...content, backendServers: [server, { ...server, id: 'engine-3', url: 'x' }] })).toEqual([
			"accounts[1].id: 'acme' is already the identifier of accounts[0].id",
			"backendServers[0].pool: there is no pool 'nowhere'",
			"backendServers[1].pool: there is no pool 'nowhere'",
			"accounts[1].services[1]: 'drafting' is listed twice",
			'accounts[1].tokenDigests[0]: the same token is at accounts[0].tokenDigests[0]',
			"backendServers[0].url: must name the host by IP address, not by 'engine.example'",
			"backendServers[1].url: 'x' is not a URL",
		]);
	});

	test('two accounts with the same short key are refused, since messages could not distinguish them', () => {
		const faults = listFaults(createContent(COLLIDING_IDENTIFIERS.map((id) => createAccount(id))));
		expect(faults).toEqual([
			"accounts[1].id: 'client-4l0ybq-1' has the same short key as 'client-ze52g1-y' (accounts[0].id); choose another identifier",
		]);
	});
});
