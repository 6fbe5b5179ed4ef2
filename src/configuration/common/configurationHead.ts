import { Result } from 'true-myth';
import { canonicalJson } from './canonicalJson.js';
import { BUCKETS, SECTIONS, type Section } from './configurationParts.js';

/** Store key of the head. */
export const HEAD_KEY = 'configuration/head';

/** Number of earlier changes whose nonces the head keeps, which is how late a lost answer can still be settled. */
export const RECENT_NONCES = 64;

/** Start of the store keys of all parts. */
export const PART_PREFIX = 'configuration/parts/';
const FORMAT = 1;

/** Names of the parts by section and bucket; an empty bucket has the empty name. */
export type PartNames = Readonly<Record<Section, readonly string[]>>;

/** What the store holds under {@link HEAD_KEY}. */
export interface ConfigurationHead {
	readonly version: number;
	/** Identifies the change that wrote this head. */
	readonly nonce: string;
	/** Nonces of the changes before, the latest first. */
	readonly recentNonces: readonly string[];
	readonly parts: PartNames;
}

/**
 * Names a part by its digest and the change that wrote it. No later change refers to a part that an earlier one
 * dropped, so an unused part can be removed without a race.
 *
 * @param digest digest of the part's text
 * @param nonce nonce of the change that writes the part
 */
export function partName(digest: string, nonce: string): string {
	return `${digest}.${nonce}`;
}

/** @returns the digest in a part's name */
export function digestOfPart(name: string): string {
	return name.slice(0, name.indexOf('.'));
}

/** @returns the store key of a part */
export function partKey(name: string): string {
	return PART_PREFIX + name;
}

/** @returns the names of all parts with their places */
export function listParts(
	parts: PartNames,
): readonly { readonly section: Section; readonly bucket: number; readonly name: string }[] {
	return SECTIONS.flatMap((section) =>
		parts[section].flatMap((name, bucket) => (name === '' ? [] : [{ section, bucket, name }])),
	);
}

/**
 * Looks for a change in the history that a head keeps.
 *
 * @param head a head that was read from the store
 * @param nonce nonce of the change
 * @returns the version that the change made, or undefined when the head does not know the change
 */
export function versionOfNonce(head: ConfigurationHead, nonce: string): number | undefined {
	const age = [head.nonce, ...head.recentNonces].indexOf(nonce);
	return age < 0 ? undefined : head.version - age;
}

/** @returns the text under which a head is stored */
export function encodeHead(head: ConfigurationHead): string {
	return canonicalJson({ format: FORMAT, ...head });
}

/**
 * Reads a stored head.
 *
 * @param text the stored text
 * @returns the head, or the reason why this program cannot use it
 */
export function decodeHead(text: string): Result<ConfigurationHead, string> {
	let head: Partial<ConfigurationHead> & { readonly format?: number };
	try {
		head = JSON.parse(text) as typeof head;
	} catch {
		return Result.err('the configuration head is not JSON');
	}
	if (head.format !== FORMAT) {
		return Result.err(`the configuration head has format ${String(head.format)}; this program reads ${FORMAT}`);
	}
	const { version, nonce, recentNonces, parts } = head;
	if (typeof version !== 'number' || typeof nonce !== 'string' || !Array.isArray(recentNonces) || !isPartNames(parts)) {
		return Result.err('the configuration head is incomplete');
	}
	return Result.ok({ version, nonce, recentNonces, parts });
}

function isPartNames(parts: unknown): parts is PartNames {
	const names = parts as Partial<PartNames> | undefined;
	return SECTIONS.every((section) => names?.[section]?.length === BUCKETS[section]);
}
