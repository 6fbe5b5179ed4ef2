import { Result } from 'true-myth';
import { shortKey } from '../../base/common/shortKey.js';
import type { ConfigurationFault } from './configurationFault.js';
import { canonicalContent, MAXIMUM_PART_BYTES, SECTIONS, splitIntoParts } from './configurationParts.js';
import { decodeContent } from './configurationSchema.js';
import type { BackendServer, ConfigurationContent } from './model.js';

const IPV4_BLOCK = '(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])';
const IPV4 = new RegExp(`^${IPV4_BLOCK}(\\.${IPV4_BLOCK}){3}$`);
const IPV6 = /^\[[0-9a-f:.]+\]$/;

/**
 * Validates a configuration as operators write it, without a version.
 *
 * @param input parsed JSON, not yet validated
 * @returns the content in canonical form, or all faults with their paths and reasons
 */
export function validateContent(input: unknown): Result<ConfigurationContent, readonly ConfigurationFault[]> {
	return decodeContent(input).andThen((content) => {
		const faults = [
			...SECTIONS.flatMap((section) => identifierFaults(section, content[section])),
			...referenceFaults(content),
			...tokenFaults(content),
			...content.backendServers.flatMap(urlFaults),
		];
		if (faults.length > 0) {
			return Result.err(faults);
		}
		const ordered = canonicalContent(content);
		const tooLarge = sizeFaults(ordered);
		return tooLarge.length > 0 ? Result.err(tooLarge) : Result.ok(ordered);
	});
}

function identifierFaults(section: string, items: readonly { readonly id: string }[]): readonly ConfigurationFault[] {
	const seen = new Map<number, { readonly id: string; readonly index: number }>();
	return items.flatMap(({ id }, index) => {
		const key = shortKey(id);
		const other = seen.get(key);
		if (other === undefined) {
			seen.set(key, { id, index });
			return [];
		}
		const otherPath = `${section}[${other.index}].id`;
		const reason =
			other.id === id
				? `'${id}' is already the identifier of ${otherPath}`
				: `'${id}' has the same short key as '${other.id}' (${otherPath}); choose another identifier`;
		return [{ path: `${section}[${index}].id`, reason }];
	});
}

function referenceFaults(content: ConfigurationContent): readonly ConfigurationFault[] {
	const pools = new Set(content.pools.map(({ id }) => id));
	const services = new Set(content.services.map(({ id }) => id));
	const poolFaults = (section: 'services' | 'backendServers'): readonly ConfigurationFault[] =>
		content[section].flatMap(({ pool }, index) =>
			pools.has(pool) ? [] : [{ path: `${section}[${index}].pool`, reason: `there is no pool '${pool}'` }],
		);
	const accountFaults = content.accounts.flatMap((account, index) =>
		account.services.flatMap((service, position) => {
			const path = `accounts[${index}].services[${position}]`;
			if (!services.has(service)) {
				return [{ path, reason: `there is no service '${service}'` }];
			}
			return account.services.indexOf(service) < position ? [{ path, reason: `'${service}' is listed twice` }] : [];
		}),
	);
	return [...poolFaults('services'), ...poolFaults('backendServers'), ...accountFaults];
}

// If a token authenticated two accounts, one of them would be charged for the requests of the other.
function tokenFaults(content: ConfigurationContent): readonly ConfigurationFault[] {
	const seen = new Map<string, string>();
	return content.accounts.flatMap((account, index) =>
		account.tokenDigests.flatMap((digest, position) => {
			const path = `accounts[${index}].tokenDigests[${position}]`;
			const other = seen.get(digest);
			seen.set(digest, other ?? path);
			return other === undefined ? [] : [{ path, reason: `the same token is at ${other}` }];
		}),
	);
}

function urlFaults(server: BackendServer, index: number): readonly ConfigurationFault[] {
	const reason = urlFault(server.url);
	return reason === undefined ? [] : [{ path: `backendServers[${index}].url`, reason }];
}

function urlFault(text: string): string | undefined {
	if (!URL.canParse(text)) {
		return `'${text}' is not a URL`;
	}
	const url = new URL(text);
	if (url.protocol !== 'http:') {
		return `must start with http://, not ${url.protocol}//`;
	}
	if (!IPV4.test(url.hostname) && !IPV6.test(url.hostname)) {
		return `must name the host by IP address, not by '${url.hostname}'`;
	}
	if (url.username !== '' || url.password !== '' || url.search !== '' || url.hash !== '') {
		return 'must have no user, query or fragment';
	}
	return undefined;
}

function sizeFaults(content: ConfigurationContent): readonly ConfigurationFault[] {
	const encoder = new TextEncoder();
	return splitIntoParts(content).flatMap(({ section, bucket, text }) => {
		const bytes = encoder.encode(text).length;
		return bytes <= MAXIMUM_PART_BYTES
			? []
			: [
					{
						path: section,
						reason: `hash bucket ${bucket} has ${bytes} bytes; at most ${MAXIMUM_PART_BYTES} fit into the store`,
					},
				];
	});
}
