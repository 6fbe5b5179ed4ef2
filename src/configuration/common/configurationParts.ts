import { shortKey } from '../../base/common/shortKey.js';
import { canonicalJson, compareText } from './canonicalJson.js';
import type { BackendServer, ClientAccount, ConfigurationContent, Pool, Service } from './model.js';

/** Sections of a configuration. Each section is stored in separate parts. */
export const SECTIONS = ['accounts', 'backendServers', 'pools', 'services'] as const;

/** One of {@link SECTIONS}. */
export type Section = (typeof SECTIONS)[number];

/** Number of hash buckets per section. A change rewrites and rereads only the buckets that it affects. */
export const BUCKETS: Readonly<Record<Section, number>> = { accounts: 64, backendServers: 16, pools: 1, services: 1 };

/** Maximum size of a part in bytes; the store accepts values of up to a megabyte. */
export const MAXIMUM_PART_BYTES = 900_000;

/** An item of any section. */
export type ConfigurationItem = ClientAccount | BackendServer | Pool | Service;

/** The items of one hash bucket. */
export interface ConfigurationPart {
	readonly section: Section;
	readonly bucket: number;
	/** Canonical JSON of the bucket's items, ordered by identifier. */
	readonly text: string;
}

/**
 * Converts content to its canonical form: items ordered by identifier, sets sorted. Equal content has equal canonical
 * forms.
 *
 * @param content validated content
 * @returns the same content in canonical order
 */
export function canonicalContent(content: ConfigurationContent): ConfigurationContent {
	return {
		accounts: sortByIdentifier(content.accounts).map((account) => ({
			...account,
			tokenDigests: [...account.tokenDigests].sort(compareText),
			services: [...account.services].sort(compareText),
		})),
		backendServers: sortByIdentifier(content.backendServers),
		pools: sortByIdentifier(content.pools),
		services: sortByIdentifier(content.services),
	};
}

/**
 * Splits content into one part per hash bucket that is not empty.
 *
 * @param content content in canonical order
 * @returns the parts of all sections
 */
export function splitIntoParts(content: ConfigurationContent): readonly ConfigurationPart[] {
	return SECTIONS.flatMap((section) => {
		const buckets = Array.from({ length: BUCKETS[section] }, (): ConfigurationItem[] => []);
		for (const item of content[section]) {
			buckets[shortKey(item.id) % BUCKETS[section]]?.push(item);
		}
		return buckets.flatMap((items, bucket) =>
			items.length === 0 ? [] : [{ section, bucket, text: canonicalJson(items) }],
		);
	});
}

/**
 * Assembles content from the items of its parts.
 *
 * @param itemsOf returns the items of one bucket; empty when the bucket has no part
 * @returns the content; accounts and backend servers are grouped by bucket
 */
export function joinParts(
	itemsOf: (section: Section, bucket: number) => readonly ConfigurationItem[],
): ConfigurationContent {
	const itemsOfSection = (section: Section): ConfigurationItem[] =>
		Array.from({ length: BUCKETS[section] }, (_, bucket) => itemsOf(section, bucket)).flat();
	return {
		accounts: itemsOfSection('accounts') as ClientAccount[],
		backendServers: itemsOfSection('backendServers') as BackendServer[],
		pools: itemsOfSection('pools') as Pool[],
		services: itemsOfSection('services') as Service[],
	};
}

function sortByIdentifier<T extends { readonly id: string }>(items: readonly T[]): readonly T[] {
	return [...items].sort((left, right) => compareText(left.id, right.id));
}
