import { type Event, Emitter } from '../../base/common/event.js';

/** Crash of a backend server, with the prompt parts that may have caused it. */
export interface PromptCrash {
	/** Short key of the server. */
	readonly server: number;
	/** Short keys of the parts of prompts whose responses had not survived their first bytes. */
	readonly parts: readonly number[];
}

/** State of a prompt part that is suspected of crashing backend servers. */
export interface SuspectPart {
	/** Short key of the part. */
	readonly part: number;
	/** Crashes since a response to a prompt with the part survived its first bytes. */
	readonly crashes: number;
	/** Remaining quarantine in milliseconds; 0 while prompts with the part may run. */
	readonly quarantineMs: number;
}

/** Number of crashes without a surviving response after which a part is quarantined. */
const QUARANTINE_CRASHES = 3;

/** Duration of the first quarantine; each further one is twice as long, up to the maximum. */
const INITIAL_QUARANTINE_MS = 120_000;
const MAXIMUM_QUARANTINE_MS = 3_600_000;

/**
 * Servers that end within this time count as one crash, since a power failure ends several servers at once, whatever
 * they run. All routers notice one crash within this time.
 */
const SIMULTANEOUS_MS = 250;

/** A server that ended is not back within this time, so all notices of its end within it are of one crash. */
const SAME_CRASH_MS = 2_500;

/** A part without a further crash is no longer suspected after this time. */
const SUSPICION_MS = 60_000;

/** Maximum number of suspected parts. At this number, the one whose last crash is longest ago is removed. */
const MAXIMUM_SUSPECTS = 500;

/** Time for which the survival of a response outweighs the evidence of a peer, which may not know of it. */
const RECENT_SURVIVAL_MS = 5_000;

/** A prompt that tests whether a part still crashes servers gets this time before another one may test it. */
const TEST_MS = 5_000;

/**
 * Duration of a quarantine until a prompt may test the part, if another part was in progress in the same crashes. The
 * test shows which of the two is the cause.
 */
const AMBIGUOUS_QUARANTINE_MS = 1_000;

interface Suspect {
	/** Numbers of the crashes since a response to a prompt with the part survived. */
	readonly crashes: Set<number>;
	/** Crashes up to this number are not counted when another router reports them later. */
	clearedUpTo: number;
	lastCrashAt: number;
	/** Number of quarantines since the part was cleared. */
	quarantines: number;
	quarantinedAt: number;
	quarantinedUntil: number;
	/** When a response to a prompt with the part last survived at this router. */
	survivedAt: number;
	/** Until when a prompt that tests the part after its quarantine is expected to end. */
	testedUntil: number;
}

/** A crash, or several at once. */
interface CrashEvent {
	readonly number: number;
	readonly at: number;
}

/**
 * Finds the parts of prompts that crash the servers that begin to respond to them.
 *
 * A crash ends all requests of a server, so each part in progress there is a candidate, unless the response to it has
 * gone on beyond its first bytes. A candidate is cleared as soon as any response to a prompt with it survives. What is
 * left after several crashes is quarantined, unless another part was in the same crashes and in more. When its
 * quarantine ends, one prompt at a time tests it, and the next crash quarantines it for twice as long; a part that was
 * harmless and becomes harmful is found in the same way.
 *
 * Load pattern: prompts that have one part in common, and nothing else, arrive at any router and crash one server after
 * the other, while many harmless prompts share their other parts.
 */
export class PromptSuspects {
	private readonly suspects = new Map<number, Suspect>();
	/** Last crash of each server, by short key. */
	private readonly crashOfServer = new Map<number, CrashEvent>();
	private lastCrash: CrashEvent = { number: 0, at: -Infinity };
	private readonly crashEmitter = Emitter.create<PromptCrash>();
	private readonly clearEmitter = Emitter.create<readonly number[]>();
	private readonly quarantineEmitter = Emitter.create<SuspectPart>();

	/** Fires when this router has detected a crash. */
	public readonly onDidDetectCrash: Event<PromptCrash> = this.crashEmitter.event;
	/** Fires with the parts that a response at this router has cleared. */
	public readonly onDidClear: Event<readonly number[]> = this.clearEmitter.event;
	/** Fires when a part is quarantined by the evidence that this router has. */
	public readonly onDidQuarantine: Event<SuspectPart> = this.quarantineEmitter.event;

	private constructor() {}

	/** @returns a registry without suspects */
	public static create(): PromptSuspects {
		return new PromptSuspects();
	}

	/** Whether any part is suspected. */
	public get hasSuspects(): boolean {
		return this.suspects.size > 0;
	}

	/**
	 * Records a crash that this router has detected.
	 *
	 * @param crash server and candidates
	 * @param now monotonic milliseconds
	 */
	public recordCrash(crash: PromptCrash, now: number): void {
		if (crash.parts.length > 0) {
			this.crashEmitter.fire(crash);
			this.applyCrash(crash, now);
		}
	}

	/**
	 * Applies a crash that a peer has detected.
	 *
	 * @param crash server and candidates
	 * @param now monotonic milliseconds
	 */
	public applyCrash({ server, parts }: PromptCrash, now: number): void {
		this.removeExpired(now);
		const { number } = this.eventOf(server, now);
		for (const part of parts) {
			const suspect = this.suspects.get(part) ?? this.add(part);
			if (number <= suspect.clearedUpTo || suspect.crashes.has(number)) {
				continue;
			}
			suspect.crashes.add(number);
			suspect.lastCrashAt = now;
			if (suspect.crashes.size >= QUARANTINE_CRASHES) {
				this.quarantine(part, suspect, now);
			}
		}
	}

	/**
	 * Records that a response to a prompt has survived its first bytes, which clears the parts of the prompt.
	 *
	 * @param parts short keys of the parts that other prompts may share
	 * @param now monotonic milliseconds
	 */
	public recordSurvival(parts: readonly number[], now: number): void {
		const cleared: number[] = [];
		for (const part of parts) {
			const suspect = this.suspects.get(part);
			if (suspect !== undefined) {
				suspect.survivedAt = now;
				if (suspect.crashes.size > 0 || suspect.quarantines > 0) {
					cleared.push(part);
				}
			}
		}
		if (cleared.length > 0) {
			this.clear(cleared);
			this.clearEmitter.fire(cleared);
		}
	}

	/**
	 * Clears parts, since a response has survived at this router or at a peer. Crashes that are already counted are not
	 * counted again when another router reports them later.
	 *
	 * @param parts short keys of parts
	 */
	public clear(parts: readonly number[]): void {
		for (const part of parts) {
			const suspect = this.suspects.get(part);
			if (suspect !== undefined) {
				suspect.crashes.clear();
				suspect.clearedUpTo = this.lastCrash.number;
				suspect.quarantines = 0;
				suspect.quarantinedUntil = -Infinity;
				suspect.testedUntil = -Infinity;
			}
		}
	}

	/**
	 * Applies the quarantine of a part at a peer, whose evidence may be more complete. If a response has survived at this
	 * router in the meantime, the peer is told so instead.
	 *
	 * @param state suspected part
	 * @param now monotonic milliseconds
	 */
	public applyQuarantine({ part, quarantineMs }: SuspectPart, now: number): void {
		const suspect = this.suspects.get(part) ?? this.add(part);
		if (now - suspect.survivedAt < RECENT_SURVIVAL_MS) {
			this.clearEmitter.fire([part]);
			return;
		}
		const until = now + Math.min(quarantineMs, MAXIMUM_QUARANTINE_MS);
		if (until > suspect.quarantinedUntil) {
			suspect.quarantinedAt = suspect.quarantines === 0 ? now : suspect.quarantinedAt;
			suspect.quarantinedUntil = until;
			suspect.quarantines = Math.max(1, suspect.quarantines);
			suspect.lastCrashAt = Math.max(suspect.lastCrashAt, now);
		}
	}

	/**
	 * Checks whether a prompt may run now. After a quarantine, it may run as a test of its suspected parts.
	 *
	 * @param parts short keys of the parts that other prompts may share
	 * @param now monotonic milliseconds
	 * @returns milliseconds for which the prompt must be refused; 0 when it may run
	 */
	public quarantineMs(parts: readonly number[], now: number): number {
		const suspects = parts.flatMap((part) => this.suspects.get(part) ?? []);
		return Math.max(0, ...suspects.map((suspect) => this.quarantineEndOf(suspect, suspects) - now));
	}

	/**
	 * Records that a prompt is sent to a server. If its parts were quarantined before, it is the only test of them for a
	 * while.
	 *
	 * @param parts short keys of the parts that other prompts may share
	 * @param now monotonic milliseconds
	 */
	public recordSent(parts: readonly number[], now: number): void {
		for (const part of parts) {
			const suspect = this.suspects.get(part);
			if (suspect !== undefined && suspect.quarantines > 0) {
				suspect.testedUntil = now + TEST_MS;
			}
		}
	}

	/**
	 * @param now monotonic milliseconds
	 * @returns the suspected parts, for a new peer and for the state dump
	 */
	public list(now: number): readonly SuspectPart[] {
		return [...this.suspects]
			.filter(([, { crashes, quarantinedUntil }]) => crashes.size > 0 || quarantinedUntil > now)
			.map(([part, { crashes, quarantinedUntil }]) => {
				return { part, crashes: crashes.size, quarantineMs: Math.max(0, Math.round(quarantinedUntil - now)) };
			});
	}

	/** Numbers a crash; servers that end at once, and all notices of the end of one server, have the same number. */
	private eventOf(server: number, now: number): CrashEvent {
		const known = this.crashOfServer.get(server);
		if (known !== undefined && now - known.at < SAME_CRASH_MS) {
			return known;
		}
		const { number, at } = this.lastCrash;
		const event = now - at < SIMULTANEOUS_MS ? { number, at: now } : { number: number + 1, at: now };
		this.lastCrash = { number: event.number, at: event.number === number ? at : now };
		this.crashOfServer.set(server, event);
		return event;
	}

	private quarantine(part: number, suspect: Suspect, now: number): void {
		const periodMs = Math.min(INITIAL_QUARANTINE_MS * 2 ** suspect.quarantines, MAXIMUM_QUARANTINE_MS);
		const wasQuarantined = suspect.quarantinedUntil > now;
		suspect.quarantinedAt = now;
		suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, now + periodMs);
		if (!wasQuarantined) {
			suspect.quarantines++;
			this.quarantineEmitter.fire({ part, crashes: suspect.crashes.size, quarantineMs: periodMs });
		}
	}

	/**
	 * Time until which a prompt is refused for one of its parts; it may have passed.
	 *
	 * @param suspect the part
	 * @param prompt all suspected parts of the prompt
	 */
	private quarantineEndOf(suspect: Suspect, prompt: readonly Suspect[]): number {
		const { quarantinedAt, quarantinedUntil, testedUntil, crashes } = suspect;
		if (suspect.quarantines === 0) {
			return -Infinity;
		}
		const alternatives = [...this.suspects.values()].filter((other) => {
			return other !== suspect && other.quarantines > 0 && crashes.size > 0 && containsAll(other.crashes, crashes);
		});
		if (alternatives.some((other) => other.crashes.size > crashes.size)) {
			return -Infinity; // The other part explains these crashes, and one without this part.
		}
		// A prompt with all parts that may be the cause would not show which of them is.
		const isTest = alternatives.some((other) => !prompt.includes(other));
		return Math.max(isTest ? quarantinedAt + AMBIGUOUS_QUARANTINE_MS : quarantinedUntil, testedUntil);
	}

	private add(part: number): Suspect {
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
			testedUntil: -Infinity,
		};
		this.suspects.set(part, suspect);
		return suspect;
	}

	private removeOldest(): void {
		let oldest: number | undefined;
		let oldestAt = Infinity;
		for (const [part, { lastCrashAt, quarantinedUntil }] of this.suspects) {
			const at = Math.max(lastCrashAt, quarantinedUntil);
			if (at < oldestAt) {
				oldest = part;
				oldestAt = at;
			}
		}
		if (oldest !== undefined) {
			this.suspects.delete(oldest);
		}
	}

	private removeExpired(now: number): void {
		for (const [part, { lastCrashAt, quarantinedUntil }] of this.suspects) {
			if (now - Math.max(lastCrashAt, quarantinedUntil) > SUSPICION_MS) {
				this.suspects.delete(part);
			}
		}
		for (const [server, { at }] of this.crashOfServer) {
			if (now - at >= SAME_CRASH_MS) {
				this.crashOfServer.delete(server);
			}
		}
	}
}

function containsAll(set: ReadonlySet<number>, items: ReadonlySet<number>): boolean {
	return [...items].every((item) => set.has(item));
}
