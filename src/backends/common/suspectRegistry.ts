import { type Event, Emitter } from '../../base/common/event.js';

/** What may crash servers: a part of prompts, or a whole request. */
export const SUSPECT_KINDS = ['part', 'request'] as const;

/** Kind of a suspect. */
export type SuspectKind = (typeof SUSPECT_KINDS)[number];

/** The suspects of a router, by kind. */
export type Suspects = Readonly<Record<SuspectKind, SuspectRegistry>>;

/** Crash of a backend server, with the suspects that may have caused it. */
export interface SuspectedCrash {
	/** Short key of the server. */
	readonly server: number;
	/** Keys of the suspects that were in progress on the server. */
	readonly suspects: readonly number[];
}

/** State of a suspect. */
export interface SuspectStatus {
	readonly key: number;
	/** Crashes since a server survived a request with the suspect. */
	readonly crashes: number;
	/** Remaining quarantine in milliseconds; 0 while requests with the suspect may run. */
	readonly quarantineMs: number;
	/** Milliseconds since the quarantine began. */
	readonly ageMs: number;
}

/** A crash of which a suspect may be the cause. */
export interface EvidenceOfCrash {
	/** Short key of the server. */
	readonly server: number;
	/** Milliseconds since the crash. */
	readonly ageMs: number;
}

/** What a router knows of a suspect, for routers that have missed a notice of it or have just started. */
export interface SuspectEvidence {
	readonly key: number;
	/** Crashes since a server survived a request with the suspect. */
	readonly crashes: readonly EvidenceOfCrash[];
	/** Milliseconds since a server survived a request with the suspect; undefined when none is known to have. */
	readonly clearedAgeMs: number | undefined;
}

/** What is suspected, and how crashes are attributed to it. */
export interface SuspectPolicy {
	/**
	 * Servers that end within this time of each other count as one crash, since a power failure ends several servers at
	 * once, whatever they run; in milliseconds.
	 */
	readonly simultaneousMs: number;
	/** Duration of the first quarantine, in milliseconds; each further one is twice as long. */
	readonly initialQuarantineMs: number;
	/** Whether a request can hold several suspects, of which those that explain fewer crashes are innocent. */
	readonly isShared: boolean;
}

/**
 * Time after its first bytes for which a response has to go on before its server counts as having survived the parts of
 * its prompt. A server that crashes on a part ends when it has begun to respond.
 */
export const PART_SURVIVAL_MS = 500;

/** Parts of prompts, which many prompts share. */
export const PROMPT_PART_POLICY: SuspectPolicy = {
	simultaneousMs: 250,
	initialQuarantineMs: 120_000,
	isShared: true,
};

/**
 * Whole requests that callers repeat. The next server of a request can end soon after the one before, and both count.
 * Different requests do not excuse each other: several may crash servers.
 */
export const REQUEST_POLICY: SuspectPolicy = {
	simultaneousMs: 0,
	initialQuarantineMs: 60_000,
	isShared: false,
};

/** Number of crashes without a survival after which a suspect is quarantined. */
const QUARANTINE_CRASHES = 3;

const MAXIMUM_QUARANTINE_MS = 3_600_000;

/** A server that ended is not back within this time, so all notices of its end within it are of one crash. */
const SAME_CRASH_MS = 2_500;

/**
 * Evidence of a crash of the same server within this time is of the same crash. It may come from the store, where times were
 * written by the clock of another machine, which may differ by seconds.
 */
const SAME_EVIDENCE_MS = 10_000;

/** A suspect without a further crash is removed after this time. */
const SUSPICION_MS = 60_000;

/**
 * Maximum number of suspects. At this number, one with the fewest crashes is removed: a failure domain that loses its power
 * makes suspects of all requests that its servers were running, each with one crash.
 */
const MAXIMUM_SUSPECTS = 500;

/** Time for which a survival outweighs the evidence of a peer, which may not know of it. */
const RECENT_SURVIVAL_MS = 5_000;

/** Peers repeat their quarantines; a smaller difference is a delay of the notice and does not extend a quarantine. */
const QUARANTINE_TOLERANCE_MS = 1_000;

/** A request that tests whether a suspect still crashes servers gets this time before another one may test it. */
const TEST_MS = 5_000;

/**
 * Duration of a quarantine until a request may test the suspect, if another one was in progress in the same crashes. The
 * test shows which of the two is the cause.
 */
const AMBIGUOUS_QUARANTINE_MS = 1_000;

interface Suspect {
	/** Crashes since a server survived a request with the suspect, by number. */
	readonly crashes: Map<number, ServerCrash>;
	/** Highest number of crashes, also before it was cleared. */
	severity: number;
	lastCrashAt: number;
	/** Number of quarantines since the suspect was cleared. */
	quarantines: number;
	quarantinedAt: number;
	quarantinedUntil: number;
	/** When a server last survived a request with the suspect at this router. */
	survivedAt: number;
	/** When the suspect was last cleared, here or by a peer. Earlier crashes are not counted when they are reported later. */
	clearedAt: number;
	/** Until when a request that tests the suspect after its quarantine is expected to end. */
	testedUntil: number;
}

/** Crash of one server. */
interface ServerCrash {
	/** Short key of the server. */
	readonly server: number;
	/** The same for crashes at the same time. */
	readonly number: number;
	readonly at: number;
	/** Time of the first crash with this number. */
	readonly firstAt: number;
}

/**
 * Finds what crashes the servers that run it: a part of prompts, or a whole request that callers repeat.
 *
 * A crash ends all requests of a server, so each one in progress there is a suspect. A suspect is cleared as soon as any
 * server survives it. What is left after several crashes is quarantined; among suspects that requests share, unless
 * another one was in the same crashes and in more. When its quarantine ends, one request at a time tests it, and the next
 * crash quarantines it for twice as long; what was harmless and becomes harmful is found in the same way.
 *
 * Load pattern: requests that have one suspect in common, and nothing else, arrive at any router and crash one server
 * after the other, while many harmless requests run on the same servers.
 */
export class SuspectRegistry {
	private readonly suspects = new Map<number, Suspect>();
	/** Last crash of each server, by short key. */
	private readonly crashOfServer = new Map<number, ServerCrash>();
	private lastNumber = 0;
	private readonly crashEmitter = Emitter.create<SuspectedCrash>();
	private readonly clearEmitter = Emitter.create<readonly number[]>();
	private readonly quarantineEmitter = Emitter.create<SuspectStatus>();

	/** Fires when this router has detected a crash. */
	public readonly onDidDetectCrash: Event<SuspectedCrash> = this.crashEmitter.event;
	/** Fires with the suspects that this router has cleared. */
	public readonly onDidClear: Event<readonly number[]> = this.clearEmitter.event;
	/** Fires when a suspect is quarantined by the evidence that this router has. */
	public readonly onDidQuarantine: Event<SuspectStatus> = this.quarantineEmitter.event;

	private constructor(private readonly policy: SuspectPolicy) {}

	/**
	 * @param policy of the suspects
	 * @returns a registry without suspects
	 */
	public static create(policy: SuspectPolicy): SuspectRegistry {
		return new SuspectRegistry(policy);
	}

	/** Whether there are any suspects. */
	public get hasSuspects(): boolean {
		return this.suspects.size > 0;
	}

	/** Whether any suspect is quarantined, or has been since it was cleared. */
	public get hasQuarantines(): boolean {
		for (const { quarantines } of this.suspects.values()) {
			if (quarantines > 0) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Records a crash that this router has detected.
	 *
	 * @param crash server and suspects
	 * @param now monotonic milliseconds
	 */
	public recordCrash(crash: SuspectedCrash, now: number): void {
		if (crash.suspects.length > 0) {
			this.crashEmitter.fire(crash);
			this.applyCrash(crash, now);
		}
	}

	/**
	 * Applies a crash that a peer has detected.
	 *
	 * @param crash server and suspects
	 * @param now monotonic milliseconds
	 */
	public applyCrash({ server, suspects }: SuspectedCrash, now: number): void {
		this.removeExpired(now);
		const crash = this.crashOf(server, now, SAME_CRASH_MS);
		for (const key of suspects) {
			this.addCrash(key, this.suspects.get(key) ?? this.add(key), crash, now);
		}
	}

	/**
	 * Applies what a peer, or a router that has ended, knew of a suspect. What is known already has no effect, so evidence may
	 * be repeated.
	 *
	 * @param evidence of the suspect
	 * @param now monotonic milliseconds
	 */
	public applyEvidence({ key, crashes, clearedAgeMs }: SuspectEvidence, now: number): void {
		const youngestMs = Math.min(...crashes.map(({ ageMs }) => ageMs), clearedAgeMs ?? Infinity);
		if (youngestMs > SUSPICION_MS) {
			return;
		}
		const suspect = this.suspects.get(key) ?? this.add(key);
		if (clearedAgeMs !== undefined) {
			clearBefore(suspect, now - clearedAgeMs);
		}
		for (const { server, ageMs } of unknownCrashes(suspect, crashes, now)) {
			const crash = this.crashOf(server, now - ageMs, SAME_EVIDENCE_MS, suspect);
			this.addCrash(key, suspect, crash, now, QUARANTINE_TOLERANCE_MS);
		}
	}

	/**
	 * Records that a server has survived a request, which clears its suspects.
	 *
	 * @param keys suspects of the request
	 * @param now monotonic milliseconds
	 */
	public recordSurvival(keys: readonly number[], now: number): void {
		const cleared: number[] = [];
		for (const key of keys) {
			const suspect = this.suspects.get(key);
			if (suspect !== undefined) {
				suspect.survivedAt = now;
				if (suspect.crashes.size > 0 || suspect.quarantines > 0) {
					cleared.push(key);
				}
			}
		}
		if (cleared.length > 0) {
			this.clear(cleared, now);
			this.clearEmitter.fire(cleared);
		}
	}

	/**
	 * Clears suspects, since a server has survived them at this router or at a peer. Crashes that are already counted are
	 * not counted again when another router reports them later.
	 *
	 * @param keys suspects
	 * @param now monotonic milliseconds
	 */
	public clear(keys: readonly number[], now: number): void {
		for (const key of keys) {
			const suspect = this.suspects.get(key);
			if (suspect !== undefined) {
				clearBefore(suspect, now);
			}
		}
	}

	/**
	 * Applies the quarantine of a suspect at a peer, whose evidence may be more complete. If the suspect has been cleared
	 * in the meantime, the peer is told so instead.
	 *
	 * @param status of the suspect at the peer
	 * @param now monotonic milliseconds
	 * @returns whether it is quarantined here, or for longer, because of the peer
	 */
	public applyQuarantine({ key, quarantineMs, ageMs }: SuspectStatus, now: number): boolean {
		const suspect = this.suspects.get(key) ?? this.add(key);
		const beganAt = now - ageMs;
		if (suspect.clearedAt > beganAt || now - suspect.survivedAt < RECENT_SURVIVAL_MS) {
			this.clearEmitter.fire([key]);
			return false;
		}
		const until = now + Math.min(quarantineMs, MAXIMUM_QUARANTINE_MS);
		if (until <= suspect.quarantinedUntil + QUARANTINE_TOLERANCE_MS) {
			return false;
		}
		suspect.quarantinedAt = suspect.quarantines === 0 ? beganAt : suspect.quarantinedAt;
		suspect.quarantinedUntil = until;
		suspect.quarantines = Math.max(1, suspect.quarantines);
		suspect.lastCrashAt = Math.max(suspect.lastCrashAt, now);
		return true;
	}

	/**
	 * Checks whether a request may run now. After a quarantine, it may run as a test of its suspects.
	 *
	 * @param keys what the request would be suspected for
	 * @param now monotonic milliseconds
	 * @returns milliseconds for which the request must be refused; 0 when it may run
	 */
	public quarantineMs(keys: readonly number[], now: number): number {
		const suspects = keys.flatMap((key) => this.suspects.get(key) ?? []);
		return Math.max(0, ...suspects.map((suspect) => this.quarantineEndOf(suspect, suspects) - now));
	}

	/**
	 * @param key of a suspect
	 * @returns whether one more crash would quarantine it
	 */
	public isAlmostQuarantined(key: number): boolean {
		const suspect = this.suspects.get(key);
		return suspect !== undefined && (suspect.crashes.size >= QUARANTINE_CRASHES - 1 || suspect.quarantines > 0);
	}

	/**
	 * Records that a request is sent to a server. If its suspects were quarantined before, it is the only test of them for
	 * a while.
	 *
	 * @param keys what the request would be suspected for
	 * @param now monotonic milliseconds
	 */
	public recordSent(keys: readonly number[], now: number): void {
		for (const key of keys) {
			const suspect = this.suspects.get(key);
			if (suspect !== undefined && suspect.quarantines > 0) {
				suspect.testedUntil = now + TEST_MS;
			}
		}
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns the suspects, for the state dump
	 */
	public list(now: number): readonly SuspectStatus[] {
		return [...this.suspects]
			.filter(([, { crashes, quarantinedUntil }]) => crashes.size > 0 || quarantinedUntil > now)
			.map(([key, { crashes, quarantinedAt, quarantinedUntil }]) => ({
				key,
				crashes: crashes.size,
				quarantineMs: Math.max(0, Math.round(quarantinedUntil - now)),
				ageMs: quarantinedUntil > now ? Math.max(0, Math.round(now - quarantinedAt)) : 0,
			}));
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns the suspects that are quarantined
	 */
	public listQuarantined(now: number): readonly SuspectStatus[] {
		return this.list(now).filter(({ quarantineMs }) => quarantineMs > 0);
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns what is known of the suspects, those with the most crashes first
	 */
	public listEvidence(now: number): readonly SuspectEvidence[] {
		this.removeExpired(now);
		return [...this.suspects]
			.filter(([, { crashes, clearedAt }]) => crashes.size > 0 || now - clearedAt <= SUSPICION_MS)
			.sort(([, one], [, other]) => other.severity - one.severity || other.lastCrashAt - one.lastCrashAt)
			.map(([key, { crashes, clearedAt }]) => ({
				key,
				crashes: [...crashes.values()].map(({ server, at }) => ({ server, ageMs: Math.round(now - at) })),
				clearedAgeMs: clearedAt === -Infinity ? undefined : Math.round(now - clearedAt),
			}));
	}

	/**
	 * Numbers a crash. Servers that end at once have the same number, and all reports of the end of one server are of one crash.
	 *
	 * @param server that crashed
	 * @param at monotonic milliseconds of the crash
	 * @param toleranceMs difference up to which a known crash of the server is the same one
	 * @param suspect whose crashes are known to be other ones
	 */
	private crashOf(server: number, at: number, toleranceMs: number, suspect?: Suspect): ServerCrash {
		const known = this.crashOfServer.get(server);
		const isOther = known !== undefined && suspect?.crashes.has(known.number) === true;
		if (known !== undefined && !isOther && Math.abs(at - known.at) < toleranceMs) {
			return known;
		}
		const { simultaneousMs } = this.policy;
		const same = [...this.crashOfServer.values()].find(({ firstAt }) => Math.abs(at - firstAt) < simultaneousMs);
		const { number, firstAt } = same ?? { number: ++this.lastNumber, firstAt: at };
		const crash = { server, number, at, firstAt };
		if (known === undefined || at > known.at) {
			this.crashOfServer.set(server, crash);
		}
		return crash;
	}

	private addCrash(key: number, suspect: Suspect, crash: ServerCrash, now: number, toleranceMs = 0): void {
		const { crashes } = suspect;
		if (crash.at <= suspect.clearedAt || crashes.has(crash.number)) {
			return;
		}
		crashes.set(crash.number, crash);
		suspect.severity = Math.max(suspect.severity, crashes.size);
		suspect.lastCrashAt = Math.max(suspect.lastCrashAt, crash.at);
		// A crash before a quarantine is one that has led to it.
		const isQuarantineDue =
			suspect.quarantines > 0 ? crash.at > suspect.quarantinedAt + toleranceMs : crashes.size >= QUARANTINE_CRASHES;
		if (isQuarantineDue) {
			this.quarantine(key, suspect, crash.at, now);
		}
	}

	/** Quarantines a suspect from its last crash on, so that routers which learn of the crash later do not extend the quarantine. */
	private quarantine(key: number, suspect: Suspect, at: number, now: number): void {
		const periodMs = Math.min(this.policy.initialQuarantineMs * 2 ** suspect.quarantines, MAXIMUM_QUARANTINE_MS);
		const wasQuarantined = suspect.quarantinedUntil > now;
		suspect.quarantinedAt = at;
		suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, at + periodMs);
		if (!wasQuarantined) {
			suspect.quarantines++;
			const quarantineMs = Math.round(suspect.quarantinedUntil - now);
			if (quarantineMs > 0) {
				const ageMs = Math.round(now - at);
				this.quarantineEmitter.fire({ key, crashes: suspect.crashes.size, quarantineMs, ageMs });
			}
		}
	}

	/**
	 * Time until which a request is refused for one of its suspects; it may have passed.
	 *
	 * @param suspect one of the request
	 * @param request all suspects of the request
	 */
	private quarantineEndOf(suspect: Suspect, request: readonly Suspect[]): number {
		const { quarantinedAt, quarantinedUntil, testedUntil, crashes } = suspect;
		if (suspect.quarantines === 0) {
			return -Infinity;
		}
		if (!this.policy.isShared) {
			return Math.max(quarantinedUntil, testedUntil);
		}
		const alternatives = [...this.suspects.values()].filter((other) => {
			return other !== suspect && other.quarantines > 0 && crashes.size > 0 && containsAll(other.crashes, crashes);
		});
		if (alternatives.some((other) => other.crashes.size > crashes.size)) {
			return -Infinity; // The other one explains these crashes, and one without this suspect.
		}
		// A request with all suspects that may be the cause would not show which of them is.
		const isTest = alternatives.some((other) => !request.includes(other));
		return Math.max(isTest ? quarantinedAt + AMBIGUOUS_QUARANTINE_MS : quarantinedUntil, testedUntil);
	}

	private add(key: number): Suspect {
		if (this.suspects.size >= MAXIMUM_SUSPECTS) {
			this.removeLeastSuspected();
		}
		const suspect: Suspect = {
			crashes: new Map(),
			severity: 0,
			lastCrashAt: -Infinity,
			quarantines: 0,
			quarantinedAt: -Infinity,
			quarantinedUntil: -Infinity,
			survivedAt: -Infinity,
			clearedAt: -Infinity,
			testedUntil: -Infinity,
		};
		this.suspects.set(key, suspect);
		return suspect;
	}

	private removeLeastSuspected(): void {
		let removed: number | undefined;
		let least = { count: Infinity, at: Infinity };
		for (const [key, { crashes, quarantines, lastCrashAt, quarantinedUntil }] of this.suspects) {
			const count = Math.max(crashes.size, quarantines > 0 ? QUARANTINE_CRASHES : 0);
			const at = Math.max(lastCrashAt, quarantinedUntil);
			if (count < least.count || (count === least.count && at < least.at)) {
				removed = key;
				least = { count, at };
			}
		}
		if (removed !== undefined) {
			this.suspects.delete(removed);
		}
	}

	private removeExpired(now: number): void {
		for (const [key, { lastCrashAt, quarantinedUntil, clearedAt }] of this.suspects) {
			if (now - Math.max(lastCrashAt, quarantinedUntil, clearedAt) > SUSPICION_MS) {
				this.suspects.delete(key);
			}
		}
		for (const [server, { at }] of this.crashOfServer) {
			if (now - at >= SUSPICION_MS) {
				this.crashOfServer.delete(server);
			}
		}
	}
}

/** @returns registries without suspects, for all kinds */
export function createSuspects(): Suspects {
	return { part: SuspectRegistry.create(PROMPT_PART_POLICY), request: SuspectRegistry.create(REQUEST_POLICY) };
}

/**
 * Selects the crashes that a peer knows of beyond those that are known here. Their times cannot be compared exactly, so as many
 * crashes of each server are taken to be the same ones as both know of.
 */
function unknownCrashes(
	suspect: Suspect,
	crashes: readonly EvidenceOfCrash[],
	now: number,
): readonly EvidenceOfCrash[] {
	const known = new Map<number, number>();
	for (const { server } of suspect.crashes.values()) {
		known.set(server, (known.get(server) ?? 0) + 1);
	}
	return crashes.filter(({ server, ageMs }) => {
		const left = known.get(server) ?? 0;
		known.set(server, Math.max(0, left - 1));
		return left === 0 && now - ageMs > suspect.clearedAt;
	});
}

/** Clears a suspect of what happened up to a time. */
function clearBefore(suspect: Suspect, at: number): void {
	if (at <= suspect.clearedAt) {
		return;
	}
	suspect.clearedAt = at;
	for (const [number, crash] of suspect.crashes) {
		if (crash.at <= at) {
			suspect.crashes.delete(number);
		}
	}
	if (suspect.quarantinedAt <= at) {
		suspect.quarantines = 0;
		suspect.quarantinedUntil = -Infinity;
		suspect.testedUntil = -Infinity;
	}
}

function containsAll(map: ReadonlyMap<number, unknown>, items: ReadonlyMap<number, unknown>): boolean {
	return [...items.keys()].every((item) => map.has(item));
}
