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

/** A suspect without a further crash is removed after this time. */
const SUSPICION_MS = 60_000;

/** Maximum number of suspects. At this number, the one whose last crash is longest ago is removed. */
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
	/** Numbers of the crashes since a server survived a request with the suspect. */
	readonly crashes: Set<number>;
	/** Crashes up to this number are not counted when another router reports them later. */
	clearedUpTo: number;
	lastCrashAt: number;
	/** Number of quarantines since the suspect was cleared. */
	quarantines: number;
	quarantinedAt: number;
	quarantinedUntil: number;
	/** When a server last survived a request with the suspect at this router. */
	survivedAt: number;
	/** When the suspect was last cleared, here or by a peer. */
	clearedAt: number;
	/** Until when a request that tests the suspect after its quarantine is expected to end. */
	testedUntil: number;
}

/** A crash, or several at once. */
interface CrashEvent {
	readonly number: number;
	readonly at: number;
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
	private readonly crashOfServer = new Map<number, CrashEvent>();
	private lastCrash: CrashEvent = { number: 0, at: -Infinity };
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
		const { number } = this.eventOf(server, now);
		for (const key of suspects) {
			const suspect = this.suspects.get(key) ?? this.add(key);
			if (number <= suspect.clearedUpTo || suspect.crashes.has(number)) {
				continue;
			}
			suspect.crashes.add(number);
			suspect.lastCrashAt = now;
			if (suspect.crashes.size >= QUARANTINE_CRASHES || suspect.quarantines > 0) {
				this.quarantine(key, suspect, now);
			}
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
				suspect.crashes.clear();
				suspect.clearedAt = now;
				suspect.clearedUpTo = this.lastCrash.number;
				suspect.quarantines = 0;
				suspect.quarantinedUntil = -Infinity;
				suspect.testedUntil = -Infinity;
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

	/** Numbers a crash; servers that end at once, and all notices of the end of one server, have the same number. */
	private eventOf(server: number, now: number): CrashEvent {
		const known = this.crashOfServer.get(server);
		if (known !== undefined && now - known.at < SAME_CRASH_MS) {
			return known;
		}
		const { number, at } = this.lastCrash;
		const event = now - at < this.policy.simultaneousMs ? { number, at: now } : { number: number + 1, at: now };
		this.lastCrash = { number: event.number, at: event.number === number ? at : now };
		this.crashOfServer.set(server, event);
		return event;
	}

	private quarantine(key: number, suspect: Suspect, now: number): void {
		const periodMs = Math.min(this.policy.initialQuarantineMs * 2 ** suspect.quarantines, MAXIMUM_QUARANTINE_MS);
		const wasQuarantined = suspect.quarantinedUntil > now;
		suspect.quarantinedAt = now;
		suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, now + periodMs);
		if (!wasQuarantined) {
			suspect.quarantines++;
			this.quarantineEmitter.fire({ key, crashes: suspect.crashes.size, quarantineMs: periodMs, ageMs: 0 });
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
			this.removeOldest();
		}
		const suspect: Suspect = {
			crashes: new Set(),
			clearedUpTo: 0,
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

	private removeOldest(): void {
		let oldest: number | undefined;
		let oldestAt = Infinity;
		for (const [key, { lastCrashAt, quarantinedUntil }] of this.suspects) {
			const at = Math.max(lastCrashAt, quarantinedUntil);
			if (at < oldestAt) {
				oldest = key;
				oldestAt = at;
			}
		}
		if (oldest !== undefined) {
			this.suspects.delete(oldest);
		}
	}

	private removeExpired(now: number): void {
		for (const [key, { lastCrashAt, quarantinedUntil, clearedAt }] of this.suspects) {
			if (now - Math.max(lastCrashAt, quarantinedUntil, clearedAt) > SUSPICION_MS) {
				this.suspects.delete(key);
			}
		}
		for (const [server, { at }] of this.crashOfServer) {
			if (now - at >= SAME_CRASH_MS) {
				this.crashOfServer.delete(server);
			}
		}
	}
}

/** @returns registries without suspects, for all kinds */
export function createSuspects(): Suspects {
	return { part: SuspectRegistry.create(PROMPT_PART_POLICY), request: SuspectRegistry.create(REQUEST_POLICY) };
}

function containsAll(set: ReadonlySet<number>, items: ReadonlySet<number>): boolean {
	return [...items].every((item) => set.has(item));
}
