import { Result } from 'true-myth';
import { canonicalJson } from './canonicalJson.js';
import { BUCKETS, SECTIONS, type Section } from './configurationParts.js';

/** Store key of the configuration head. */
export const HEAD_KEY = 'configuration/head';

/**
 * Number of earlier changes whose nonces the head keeps. A publisher whose response was lost can find out whether its
 * change was applied as long as no more changes than this have followed.
 */
export const RECENT_NONCES = 64;

/** Prefix of the store keys of all parts. */
export const PART_PREFIX = 'configuration/parts/';
const HEAD_FORMAT = 1;

/** Names of the parts by section and bucket; empty text for an empty bucket. */
export type PartNames = Readonly<Record<Section, readonly string[]>>;

/** Value stored under {@link HEAD_KEY}: the current version and the names of its parts. */
export interface ConfigurationHead {
	readonly version: number;
	/** Identifies the change that wrote this head. */
	readonly nonce: string;
	/** Nonces of the preceding changes, most recent first. */
	readonly recentNonces: readonly string[];
	readonly parts: PartNames;
}

/**
 * Builds the name of a part from its digest and the change that wrote it. A change never refers to a part that an
 * earlier change dropped, so an unused part can be removed without a race.
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

/** @returns the names of all parts with their sections and buckets */
export function listParts(
	parts: PartNames,
): readonly { readonly section: Section; readonly bucket: number; readonly name: string }[] {
	return SECTIONS.flatMap((section) =>
		parts[section].flatMap((name, bucket) => (name === '' ? [] : [{ section, bucket, name }])),
	);
}

/**
 * Looks up a change in the recent history of a head.
 *
 * @param head a head that was read from the store
 * @param nonce nonce of the change
 * @returns the version that the change created, or undefined when the head does not list the change
 */
export function versionOfNonce(head: ConfigurationHead, nonce: string): number | undefined {
	const age = [head.nonce, ...head.recentNonces].indexOf(nonce);
	return age < 0 ? undefined : head.version - age;
}

/** @returns the stored form of a head */
export function encodeHead(head: ConfigurationHead): string {
	return canonicalJson({ format: HEAD_FORMAT, ...head });
}

/**
 * Parses a stored head.
 *
 * @param text the stored text
 * @returns the head, or the reason why it cannot be used
 */
export function decodeHead(text: string): Result<ConfigurationHead, string> {
	let head: Partial<ConfigurationHead> & { readonly format?: number };
	try {
		head = JSON.parse(text) as typeof head;
	} catch {
		return Result.err('the configuration head is not valid JSON');
	}
	if (head.format !== HEAD_FORMAT) {
		return Result.err(
			`the configuration head has format ${String(head.format)}; the supported format is ${HEAD_FORMAT}`,
		);
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
