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
// A name at a greater distance is more likely a different name than a misspelling.
const MAXIMUM_SUGGESTION_DISTANCE = 4;

interface KeyRule<T> {
	readonly parser: ValueParser<T>;
	/** Undefined for a required key. */
	readonly defaultValue?: T;
}

type SectionRules = Readonly<Record<string, KeyRule<unknown>>>;
type SectionValues<Rules> = { readonly [Key in keyof Rules]: Rules[Key] extends KeyRule<infer T> ? T : never };

const SECTION_RULES = {
	instance: { name: { parser: parseName }, failure_domain: { parser: parseName } },
	callers: { address: { parser: parseAddress } },
	peers: { address: { parser: parseAddress } },
	admin: { address: { parser: parseAddress } },
	platform: { store_url: { parser: parseHttpUrl }, instance_list_url: { parser: parseHttpUrl } },
	log: { level: { parser: parseLogLevel, defaultValue: 'info' as const } },
	shutdown: {
		balancer_delay_ms: { parser: createIntegerParser(0, HOUR_MS), defaultValue: DEFAULT_BALANCER_DELAY_MS },
		deadline_ms: { parser: createIntegerParser(1, DAY_MS), defaultValue: DEFAULT_DEADLINE_MS },
	},
	tls: { certificate: { parser: parsePath }, key: { parser: parsePath }, authority: { parser: parsePath } },
} satisfies Readonly<Record<string, SectionRules>>;

type AllSections = { readonly [Name in keyof typeof SECTION_RULES]: SectionValues<(typeof SECTION_RULES)[Name]> };
type Sections = Omit<AllSections, 'tls'> & { readonly tls: AllSections['tls'] | undefined };
/** Sections in which invalid values are missing. */
type ReadSections = { readonly [Name in keyof Sections]: Partial<Sections[Name]> };

const LISTENERS = ['callers', 'peers', 'admin'] as const;

/**
 * Reads and validates settings from a file.
 *
 * @param path path of the INI file
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
 * Parses and validates settings.
 *
 * @param text content of an INI file
 * @returns the settings, or every fault found
 */
export function parseSettings(text: string): Result<Settings, readonly SettingsFault[]> {
	// With `bracketedArray`, the library would keep only the last of several values of a key.
	const document = parse(text, { bracketedArray: false });
	const faults = [...findSkippedLines(text), ...findUnknownNames(document)];
	const sections = parseSections(document, faults);
	faults.push(...findConflicts(sections));
	return faults.length > 0 ? Result.err(faults) : Result.ok(toSettings(sections as Sections));
}

/** Finds lines that the INI library ignores without an error. */
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
		if (!Object.hasOwn(SECTION_RULES, section)) {
			return [{ section, reason: `unknown section${formatSuggestion(section, Object.keys(SECTION_RULES))}` }];
		}
		const known = Object.keys(SECTION_RULES[section as keyof typeof SECTION_RULES]);
		return Object.keys(content)
			.filter((key) => !known.includes(key))
			.map((key) => ({ section, key, reason: `unknown key${formatSuggestion(key, known)}` }));
	});
}

function parseSections(document: Readonly<Record<string, unknown>>, faults: SettingsFault[]): ReadSections {
	const sections: Record<string, unknown> = {};
	for (const [name, rules] of Object.entries(SECTION_RULES)) {
		const content = Object.hasOwn(document, name) ? document[name] : undefined;
		if (content === undefined && name === 'tls') {
			continue;
		}
		sections[name] = parseSection(name, rules, isSection(content) ? content : {}, faults);
	}
	return sections as ReadSections;
}

function parseSection(
	section: string,
	rules: SectionRules,
	content: Readonly<Record<string, unknown>>,
	faults: SettingsFault[],
): Readonly<Record<string, unknown>> {
	const values: Record<string, unknown> = {};
	for (const [key, rule] of Object.entries(rules)) {
		const result = Object.hasOwn(content, key) ? parseValue(content[key], rule.parser) : defaultOrFault(rule);
		if (result.isErr) {
			faults.push({ section, key, reason: result.error });
			continue;
		}
		values[key] = result.value;
	}
	return values;
}

function defaultOrFault<T>(rule: KeyRule<T>): Result<T, string> {
	return rule.defaultValue === undefined ? Result.err('is required') : Result.ok(rule.defaultValue);
}

function parseValue<T>(raw: unknown, parser: ValueParser<T>): Result<T, string> {
	// The library turns a key that is used twice in the file into an array, even if the first use is in another
	// section.
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
	return parser(String(value));
}

function findConflicts(sections: ReadSections): readonly SettingsFault[] {
	return [...findInvalidDeadline(sections), ...findSharedAddresses(sections), ...findMissingTls(sections)];
}

function findInvalidDeadline({ shutdown }: ReadSections): readonly SettingsFault[] {
	const delay = shutdown.balancer_delay_ms;
	const deadline = shutdown.deadline_ms;
	if (delay === undefined || deadline === undefined || deadline >= delay) {
		return [];
	}
	return [{ section: 'shutdown', key: 'deadline_ms', reason: 'must not be less than balancer_delay_ms' }];
}

function findSharedAddresses(sections: ReadSections): readonly SettingsFault[] {
	const sectionByAddress = new Map<string, string>();
	return LISTENERS.flatMap((section) => {
		const address = sections[section].address;
		if (address === undefined || address.port === 0) {
			return [];
		}
		const text = formatAddress(address);
		const otherSection = sectionByAddress.get(text);
		sectionByAddress.set(text, section);
		return otherSection === undefined
			? []
			: [{ section, key: 'address', reason: `is also the address of [${otherSection}]` }];
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

function formatSuggestion(name: string, known: readonly string[]): string {
	const nearest = closest(name, known);
	return distance(name, nearest) <= MAXIMUM_SUGGESTION_DISTANCE
		? `; did you mean '${nearest}'?`
		: `; known are ${known.join(', ')}`;
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
