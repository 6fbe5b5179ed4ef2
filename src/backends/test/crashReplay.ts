import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualTime } from '../../base/test/virtualTime.js';
import { PART_SURVIVAL_MS, PROMPT_PART_POLICY, SuspectRegistry } from '../common/suspectRegistry.js';

/** A fleet whose engines crash on one part of prompts. */
export interface CrashReplayFleet {
	readonly routers: number;
	readonly engines: number;
	readonly promptsPerSecond: number;
	/** Fraction of the prompts that have the harmful part. */
	readonly harmfulFraction: number;
	/** Milliseconds from the first event of a response to the crash of its engine. */
	readonly crashAfterMs: number;
}

/** Outcome of a replay. */
export interface CrashReplayResult {
	/** Times of the crashes, in milliseconds. */
	readonly crashes: readonly number[];
	/** Times at which a harmful prompt was sent to an engine. */
	readonly harmfulSent: readonly number[];
	/** Fraction of the harmless prompts that were refused for a part at their first attempt. */
	readonly refusedFraction: number;
}

interface Prompt {
	readonly parts: readonly number[];
	readonly harmful: boolean;
	readonly router: number;
	readonly attempts: number;
}

interface Running {
	readonly prompt: Prompt;
	beganAt: number | undefined;
}

const SYSTEM_PART = 1;
const HARMFUL_PART = 2;
const FIRST_DOCUMENT = 100;
const DOCUMENTS = 300;

/** Exponent of the popularity of documents: few are in most prompts, most are rare. */
const DOCUMENT_SKEW = 2;

/** Document that each harmful prompt has; harmless prompts have it too. */
const COMMON_DOCUMENT = FIRST_DOCUMENT + 20;

const MINIMUM_PREFILL_MS = 20;
const PREFILL_SPREAD_MS = 150;
const STREAM_MS = 2_000;
const DOWN_MS = 3_000;
const MAXIMUM_ATTEMPTS = 3;
const NOTICE_LATENCY_MS = 40;
const MESSAGE_LATENCY_MS = 30;
const MESSAGE_LOSS = 0.02;
const SECOND_MS = 1_000;

/**
 * Simulates, in virtual time, routers that place prompts on engines, one of whose shared parts crashes each engine that
 * begins to respond.
 *
 * @param fleet routers, engines and load
 * @param endMs end of the replay, in milliseconds
 * @param seed seed of the prompts, times and losses
 * @returns crashes, and what became of the prompts
 */
export function replayCrashes(fleet: CrashReplayFleet, endMs: number, seed: number): CrashReplayResult {
	const generator = xoroshiro128plus(seed);
	const random = (): number => uniformFloat64(generator);
	const time = VirtualTime.create();
	const crashes: number[] = [];
	const harmfulSent: number[] = [];
	let harmless = 0;
	let refused = 0;
	const running = Array.from({ length: fleet.engines }, () => new Set<Running>());
	const freeAt = Array.from({ length: fleet.engines }, () => 0);
	const downUntil = Array.from({ length: fleet.engines }, () => 0);

	const suspects = Array.from({ length: fleet.routers }, () => SuspectRegistry.create(PROMPT_PART_POLICY));
	const sendToOthers = (sender: number, now: number, apply: (peer: SuspectRegistry, now: number) => void): void => {
		suspects.forEach((peer, index) => {
			if (index !== sender && random() >= MESSAGE_LOSS) {
				time.schedule(now + random() * MESSAGE_LATENCY_MS, (later) => apply(peer, later));
			}
		});
	};
	let current = 0;
	suspects.forEach((own, router) => {
		own.onDidDetectCrash((crash) => sendToOthers(router, current, (peer, now) => peer.applyCrash(crash, now)));
		own.onDidClear((parts) => sendToOthers(router, current, (peer, now) => peer.clear(parts, now)));
		own.onDidQuarantine((state) => sendToOthers(router, current, (peer, now) => peer.applyQuarantine(state, now)));
	});
	const suspectsOf = (router: number, now: number): SuspectRegistry | undefined => {
		current = now;
		return suspects[router];
	};

	const crash = (engine: number, now: number): void => {
		crashes.push(now);
		downUntil[engine] = now + DOWN_MS;
		freeAt[engine] = now + DOWN_MS;
		const broken = [...(running[engine] ?? [])];
		running[engine]?.clear();
		const noticedAt = suspects.map(() => now + random() * NOTICE_LATENCY_MS);
		suspects.forEach((_, router) => {
			const own = broken.filter(({ prompt }) => prompt.router === router);
			const candidates = own.filter(({ beganAt }) => beganAt === undefined || now - beganAt < PART_SURVIVAL_MS);
			const parts = [...new Set(candidates.flatMap(({ prompt }) => prompt.parts))];
			time.schedule(noticedAt[router] ?? now, (later) => {
				suspectsOf(router, later)?.recordCrash({ server: engine, suspects: parts }, later);
			});
		});
		for (const { prompt } of broken) {
			if (prompt.attempts < MAXIMUM_ATTEMPTS) {
				const again = { ...prompt, attempts: prompt.attempts + 1 };
				time.schedule((noticedAt[prompt.router] ?? now) + 1, (later) => place(again, later));
			}
		}
	};
	const begin = (engine: number, item: Running, now: number): void => {
		if (running[engine]?.has(item) !== true) {
			return;
		}
		item.beganAt = now;
		if (item.prompt.harmful) {
			time.schedule(now + fleet.crashAfterMs, (later) => {
				if (running[engine]?.has(item) === true) {
					crash(engine, later);
				}
			});
		}
		time.schedule(now + PART_SURVIVAL_MS, (later) => {
			if (running[engine]?.has(item) === true) {
				suspectsOf(item.prompt.router, later)?.recordSurvival(item.prompt.parts, later);
			}
		});
		if (!item.prompt.harmful) {
			time.schedule(now + STREAM_MS * (0.1 + random()), (later) => {
				if (running[engine]?.delete(item) === true) {
					suspectsOf(item.prompt.router, later)?.recordSurvival(item.prompt.parts, later);
				}
			});
		}
	};
	const place = (prompt: Prompt, now: number): void => {
		const own = suspectsOf(prompt.router, now);
		if ((own?.quarantineMs(prompt.parts, now) ?? 0) > 0) {
			refused += prompt.harmful || prompt.attempts > 1 ? 0 : 1;
			return;
		}
		const available = downUntil.flatMap((until, engine) => (until <= now ? [engine] : []));
		const engine = available[Math.floor(random() * available.length)];
		if (engine === undefined) {
			return;
		}
		own?.recordSent(prompt.parts, now);
		if (prompt.harmful) {
			harmfulSent.push(now);
		}
		const item: Running = { prompt, beganAt: undefined };
		running[engine]?.add(item);
		const beginsAt = Math.max(now, freeAt[engine] ?? 0) + MINIMUM_PREFILL_MS + random() * PREFILL_SPREAD_MS;
		freeAt[engine] = beginsAt;
		time.schedule(beginsAt, (later) => begin(engine, item, later));
	};
	const arrive = (now: number): void => {
		const harmful = random() < fleet.harmfulFraction;
		const document = FIRST_DOCUMENT + Math.floor(DOCUMENTS * random() ** DOCUMENT_SKEW);
		const parts = harmful ? [SYSTEM_PART, COMMON_DOCUMENT, HARMFUL_PART] : [SYSTEM_PART, document];
		harmless += harmful ? 0 : 1;
		place({ parts, harmful, router: Math.floor(random() * fleet.routers), attempts: 1 }, now);
		time.schedule(now - (SECOND_MS * Math.log(1 - random())) / fleet.promptsPerSecond, arrive);
	};
	time.schedule(0, arrive);
	time.runUntil(endMs);
	return { crashes, harmfulSent, refusedFraction: refused / Math.max(1, harmless) };
}
