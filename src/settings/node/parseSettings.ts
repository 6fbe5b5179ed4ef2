import { readFileSync } from 'node:fs';
import { closest, distance } from 'fastest-levenshtein';
import { parse } from 'ini';
import { Result } from 'true-myth';
import { formatAddress, type Settings, type SettingsFault } from '../common/settings.js';
import {
	isLoopback,
	parseAddress,
	parseHttpUrl,
	parseLogLevel,
	parseName,
	parsePath,
	createIntegerParser,
	type ValueParser,
} from './values.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const DEFAULT_BALANCER_DELAY_MS = 5_000;
const DEFAULT_DEADLINE_MS = 600_000;
// A longer distance rather suggests another name than a misspelling.
const MAXIMUM_SUGGESTION_DISTANCE = 4;

interface KeyRule<T> {
	readonly read: ValueParser<T>;
	/** Undefined for a required key. */
	readonly fallback?: T;
}

type SectionRules = Readonly<Record<string, KeyRule<unknown>>>;
type SectionValues<Rules> = { readonly [Key in keyof Rules]: Rules[Key] extends KeyRule<infer T> ? T : never };

const RULES = {
	instance: { name: { read: parseName }, failure_domain: { read: parseName } },
	callers: { address: { read: parseAddress } },
	peers: { address: { read: parseAddress } },
	admin: { address: { read: parseAddress } },
	platform: { store_url: { read: parseHttpUrl }, instance_list_url: { read: parseHttpUrl } },
	log: { level: { read: parseLogLevel, fallback: 'info' as const } },
	shutdown: {
		balancer_delay_ms: { read: createIntegerParser(0, HOUR_MS), fallback: DEFAULT_BALANCER_DELAY_MS },
		deadline_ms: { read: createIntegerParser(1, DAY_MS), fallback: DEFAULT_DEADLINE_MS },
	},
	tls: { certificate: { read: parsePath }, key: { read: parsePath }, authority: { read: parsePath } },
} satisfies Readonly<Record<string, SectionRules>>;

type AllSections = { readonly [Name in keyof typeof RULES]: SectionValues<(typeof RULES)[Name]> };
type Sections = Omit<AllSections, 'tls'> & { readonly tls: AllSections['tls'] | undefined };
/** Sections of which some values may have been refused. */
type ReadSections = { readonly [Name in keyof Sections]: Partial<Sections[Name]> };

const LISTENERS = ['callers', 'peers', 'admin'] as const;

/**
 * Reads and checks settings from a file.
 *
 * @param path INI file
 * @returns the settings, or every fault found
 */
export function readSettings(path: string): Result<Settings, readonly SettingsFault[]> {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		return Result.err([{ reason: `cannot read the settings file: ${(error as Error).message}` }]);
	}
	return parseSettings(text);
}

/**
 * Checks settings.
 *
 * @param text content of an INI file
 * @returns the settings, or every fault found
 */
export function parseSettings(text: string): Result<Settings, readonly SettingsFault[]> {
	// With brackets as array marks, the library would keep only the last of several values of a key.
	const document = parse(text, { bracketedArray: false });
	const faults = [...findSkippedLines(text), ...findUnknownNames(document)];
	const sections = readSections(document, faults);
	faults.push(...findConflicts(sections));
	return faults.length > 0 ? Result.err(faults) : Result.ok(toSettings(sections as Sections));
}

/** Finds lines that the INI library drops without an error. */
function findSkippedLines(text: string): SettingsFault[] {
	return text
		.split(/[\r\n]+/)
		.filter((line) => line.startsWith('=') || /^\s*(\[\s*__proto__\s*\]|["']?__proto__["']?\s*(=|$))/.test(line))
		.map((line) => ({ reason: `the line '${line.trim()}' is neither a known section nor a known key` }));
}

function findUnknownNames(document: Readonly<Record<string, unknown>>): SettingsFault[] {
	return Object.entries(document).flatMap(([section, content]): readonly SettingsFault[] => {
		if (!isSection(content)) {
			return [{ key: section, reason: 'stands outside a section' }];
		}
		if (!Object.hasOwn(RULES, section)) {
			return [{ section, reason: `unknown section${suggest(section, Object.keys(RULES))}` }];
		}
		const known = Object.keys(RULES[section as keyof typeof RULES]);
		return Object.keys(content)
			.filter((key) => !known.includes(key))
			.map((key) => ({ section, key, reason: `unknown key${suggest(key, known)}` }));
	});
}

function readSections(document: Readonly<Record<string, unknown>>, faults: SettingsFault[]): ReadSections {
	const sections: Record<string, unknown> = {};
	for (const [name, rules] of Object.entries(RULES)) {
		const content = Object.hasOwn(document, name) ? document[name] : undefined;
		if (content === undefined && name === 'tls') {
			continue;
		}
		sections[name] = readSection(name, rules, isSection(content) ? content : {}, faults);
	}
	return sections as ReadSections;
}

function readSection(
	section: string,
	rules: SectionRules,
	content: Readonly<Record<string, unknown>>,
	faults: SettingsFault[],
): Readonly<Record<string, unknown>> {
	const values: Record<string, unknown> = {};
	for (const [key, rule] of Object.entries(rules)) {
		const result = Object.hasOwn(content, key) ? readValue(content[key], rule.read) : missing(rule);
		if (result.isErr) {
			faults.push({ section, key, reason: result.error });
			continue;
		}
		values[key] = result.value;
	}
	return values;
}

function missing<T>(rule: KeyRule<T>): Result<T, string> {
	return rule.fallback === undefined ? Result.err('is required') : Result.ok(rule.fallback);
}

function readValue<T>(raw: unknown, read: ValueParser<T>): Result<T, string> {
	// The library turns the second use of a key name in the file into a list, also when the first is in another section.
	const values: readonly unknown[] = Array.isArray(raw) ? raw : [raw];
	const value = values[0];
	if (values.length > 1) {
		return Result.err('is given more than once');
	}
	if (value === '' || value === true) {
		return Result.err('has no value');
	}
	if (typeof value === 'object' && value !== null) {
		return Result.err('is a section, but must be a value');
	}
	return read(String(value));
}

function findConflicts(sections: ReadSections): readonly SettingsFault[] {
	return [...findBadDeadline(sections), ...findSharedAddresses(sections), ...findMissingTls(sections)];
}

function findBadDeadline({ shutdown }: ReadSections): readonly SettingsFault[] {
	const delay = shutdown.balancer_delay_ms;
	const deadline = shutdown.deadline_ms;
	if (delay === undefined || deadline === undefined || deadline >= delay) {
		return [];
	}
	return [{ section: 'shutdown', key: 'deadline_ms', reason: 'must not be less than balancer_delay_ms' }];
}

function findSharedAddresses(sections: ReadSections): readonly SettingsFault[] {
	const users = new Map<string, string>();
	return LISTENERS.flatMap((section) => {
		const address = sections[section].address;
		if (address === undefined || address.port === 0) {
			return [];
		}
		const text = formatAddress(address);
		const other = users.get(text);
		users.set(text, section);
		return other === undefined ? [] : [{ section, key: 'address', reason: `is also the address of [${other}]` }];
	});
}

function findMissingTls(sections: ReadSections): readonly SettingsFault[] {
	const exposed = (['peers', 'admin'] as const).filter((section) => {
		const address = sections[section].address;
		return address !== undefined && !isLoopback(address.host);
	});
	if (sections.tls !== undefined || exposed.length === 0) {
		return [];
	}
	const names = exposed.map((section) => `[${section}]`).join(' and ');
	return [{ section: 'tls', reason: `is required because the address of ${names} is not a loopback address` }];
}

function toSettings(sections: Sections): Settings {
	return {
		instance: { name: sections.instance.name, failureDomain: sections.instance.failure_domain },
		callers: sections.callers,
		peers: sections.peers,
		admin: sections.admin,
		platform: {
			storeUrl: sections.platform.store_url,
			instanceListUrl: sections.platform.instance_list_url,
		},
		log: sections.log,
		shutdown: {
			balancerDelayMs: sections.shutdown.balancer_delay_ms,
			deadlineMs: sections.shutdown.deadline_ms,
		},
		tls: sections.tls,
	};
}

function suggest(name: string, known: readonly string[]): string {
	const nearest = closest(name, known);
	return distance(name, nearest) <= MAXIMUM_SUGGESTION_DISTANCE
		? `; did you mean '${nearest}'?`
		: `; known are ${known.join(', ')}`;
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
