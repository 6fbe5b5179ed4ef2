import { shortKey } from '../../base/common/shortKey.js';
import { canonicalJson, compareText } from './canonicalJson.js';
import type { BackendServer, ClientAccount, ConfigurationContent, Pool, Service } from './model.js';

/** Lists of a configuration, each stored in parts of its own. */
export const SECTIONS = ['accounts', 'backendServers', 'pools', 'services'] as const;

/** One of {@link SECTIONS}. */
export type Section = (typeof SECTIONS)[number];

/** Number of hash buckets per section, so that one change rewrites and rereads little. */
export const BUCKETS: Readonly<Record<Section, number>> = { accounts: 64, backendServers: 16, pools: 1, services: 1 };

/** Largest part in bytes; the store holds values of up to a megabyte. */
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
 * Brings content into the one form that equal content has: items ordered by identifier, sets sorted.
 *
 * @param content validated content
 * @returns the same content in canonical order
 */
export function canonicalContent(content: ConfigurationContent): ConfigurationContent {
	return {
		accounts: byIdentifier(content.accounts).map((account) => ({
			...account,
			tokenDigests: [...account.tokenDigests].sort(compareText),
			services: [...account.services].sort(compareText),
		})),
		backendServers: byIdentifier(content.backendServers),
		pools: byIdentifier(content.pools),
		services: byIdentifier(content.services),
	};
}

/**
 * Splits content into parts; empty buckets have none.
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
 * Puts content together from the items of its parts.
 *
 * @param itemsOf items of one bucket, empty when it has no part
 * @returns the content; accounts and backend servers are grouped by bucket
 */
export function joinParts(
	itemsOf: (section: Section, bucket: number) => readonly ConfigurationItem[],
): ConfigurationContent {
	const all = (section: Section): ConfigurationItem[] =>
		Array.from({ length: BUCKETS[section] }, (_, bucket) => itemsOf(section, bucket)).flat();
	return {
		accounts: all('accounts') as ClientAccount[],
		backendServers: all('backendServers') as BackendServer[],
		pools: all('pools') as Pool[],
		services: all('services') as Service[],
	};
}

function byIdentifier<T extends { readonly id: string }>(items: readonly T[]): readonly T[] {
	return [...items].sort((left, right) => compareText(left.id, right.id));
}
