import { canonicalJson } from './canonicalJson.js';
import { SECTIONS, type ConfigurationItem, type Section } from './configurationParts.js';
import type { ConfigurationContent } from './model.js';

const ITEM_NAMES: Readonly<Record<Section, string>> = {
	accounts: 'account',
	backendServers: 'backend server',
	pools: 'pool',
	services: 'service',
};

/** A difference in one item between two configurations. */
export interface ConfigurationChange {
	readonly section: Section;
	readonly id: string;
	readonly kind: 'added' | 'removed' | 'changed';
	/** Properties that differ; empty unless the item was changed. */
	readonly properties: readonly string[];
}

/**
 * Compares two configurations.
 *
 * @param before earlier content
 * @param after later content
 * @returns one entry per item that differs
 */
export function compareContent(
	before: ConfigurationContent,
	after: ConfigurationContent,
): readonly ConfigurationChange[] {
	return SECTIONS.flatMap((section) => compareSection(section, before[section], after[section]));
}

/** @returns a description of a change, such as `account acme changed (share)` */
export function formatChange(change: ConfigurationChange): string {
	const properties = change.properties.length === 0 ? '' : ` (${change.properties.join(', ')})`;
	return `${ITEM_NAMES[change.section]} ${change.id} ${change.kind}${properties}`;
}

function compareSection(
	section: Section,
	before: readonly ConfigurationItem[],
	after: readonly ConfigurationItem[],
): readonly ConfigurationChange[] {
	const earlier = new Map(before.map((item) => [item.id, item]));
	const later = new Set(after.map((item) => item.id));
	const removed = before
		.filter((item) => !later.has(item.id))
		.map((item): ConfigurationChange => ({ section, id: item.id, kind: 'removed', properties: [] }));
	const others = after.flatMap((item): readonly ConfigurationChange[] => {
		const old = earlier.get(item.id);
		if (old === undefined) {
			return [{ section, id: item.id, kind: 'added', properties: [] }];
		}
		const properties = differingProperties(old, item);
		return properties.length === 0 ? [] : [{ section, id: item.id, kind: 'changed', properties }];
	});
	return [...removed, ...others];
}

function differingProperties(before: ConfigurationItem, after: ConfigurationItem): readonly string[] {
	if (before === after) {
		return [];
	}
	const left = new Map<string, unknown>(Object.entries(before));
	const right = new Map<string, unknown>(Object.entries(after));
	return [...new Set([...left.keys(), ...right.keys()])].filter(
		(name) => canonicalJson(left.get(name) ?? null) !== canonicalJson(right.get(name) ?? null),
	);
}
