import { Effect } from 'effect';
import type { BackendTarget } from '../../backends/common/backendClient.js';
import type { ProbeResult, ServerProbe } from '../../backends/common/serverProbe.js';
import type { Suspects } from '../../backends/common/suspectRegistry.js';
import type { IClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { RegisteredServer } from '../../engines/common/directory.js';

/** A connection that breaks within this time before or after its server is found to have ended broke by its crash. */
const CRASH_WINDOW_MS = 2_000;

/** Maximum number of probes of a server that does not reply; each takes up to half a second. */
const MAXIMUM_PROBES = 4;

/** Maximum wait of a request for a probe. */
const EVIDENCE_TIMEOUT_MS = 500;

/** An incarnation of a server. */
export interface RunningServer extends BackendTarget {
	/** Start of the incarnation in Unix milliseconds; undefined if its registration does not tell. */
	readonly startedAt: number | undefined;
}

/** Identity of a request for the evidence of crashes. */
export interface CrashEvidence {
	/** Short key of the whole request. */
	readonly request: number;
	/** Short keys of the prompt parts that other requests may share, and that the server has not survived. */
	readonly parts: readonly number[];
}

interface BrokenRequest {
	readonly server: RunningServer;
	/** Key of the server's incarnation. */
	readonly key: number;
	readonly evidence: CrashEvidence;
	readonly at: number;
}

/** Dependencies of a crash detector. */
export interface CrashDetectorContext {
	/** Whole requests, and parts of prompts, that may crash servers. */
	readonly suspects: Suspects;
	readonly probe: ServerProbe;
	readonly clock: IClock;
	/** Called with the identifier of a server that crashed, and the number of requests that it may have crashed on. */
	readonly reportCrash: (server: string, requests: number) => void;
	/** Called with the result of a probe, and the number of broken requests of its server that are not yet explained. */
	readonly reportProbe: (server: string, result: ProbeResult, requests: number) => void;
}

/**
 * Detects requests that crash the servers that run them. A broken connection alone is no evidence, since responses are
 * lost for other reasons too. It counts if the server has ended: it refuses connections, which a probe shows at once,
 * another router has found so, or another incarnation registers at its address.
 *
 * Load pattern: one request, or one part of many prompts, crashes each server that starts it.
 */
export class CrashDetector {
	private broken: BrokenRequest[] = [];
	/** When servers were found to have ended, by key. */
	private readonly endedAt = new Map<number, number>();
	/** Probes in progress, by key of the server. */
	private readonly probes = new Map<number, Promise<void>>();

	private constructor(private readonly context: CrashDetectorContext) {}

	/**
	 * @param context dependencies
	 * @returns a detector without observations
	 */
	public static create(context: CrashDetectorContext): CrashDetector {
		return new CrashDetector(context);
	}

	/**
	 * @param parts returns the short keys of the prompt parts that other requests may share
	 * @returns milliseconds for which a prompt with these parts must be refused; 0 when it may run
	 */
	public partQuarantineMs(parts: () => readonly number[]): number {
		const { suspects, clock } = this.context;
		return suspects.part.hasSuspects ? suspects.part.quarantineMs(parts(), clock.now()) : 0;
	}

	/**
	 * @param request returns the short key of a received request
	 * @returns milliseconds for which the request must be refused; 0 when it may run
	 */
	public requestQuarantineMs(request: () => number): number {
		const { suspects, clock } = this.context;
		return suspects.request.hasQuarantines ? suspects.request.quarantineMs([request()], clock.now()) : 0;
	}

	/**
	 * Records that a request is sent to a server.
	 *
	 * @param request returns the short key of the request
	 * @param parts short keys of the prompt parts that other requests may share
	 */
	public recordSent(request: () => number, parts: readonly number[]): void {
		const { suspects, clock } = this.context;
		suspects.part.recordSent(parts, clock.now());
		if (suspects.request.hasQuarantines) {
			suspects.request.recordSent([request()], clock.now());
		}
	}

	/**
	 * Records that a response has gone on beyond its first bytes. A server that crashes on a part of a prompt does so
	 * before; one that crashes on a whole request may still do.
	 *
	 * @param parts short keys of the prompt parts that other requests may share
	 */
	public recordSurvival(parts: readonly number[]): void {
		this.context.suspects.part.recordSurvival(parts, this.context.clock.now());
	}

	/**
	 * Records that a response has ended as complete.
	 *
	 * @param request returns the short key of the request
	 */
	public recordCompletion(request: () => number): void {
		const { suspects, clock } = this.context;
		if (suspects.request.hasSuspects) {
			suspects.request.recordSurvival([request()], clock.now());
		}
	}

	/**
	 * Records that a connection broke before its response was complete, and probes the server.
	 *
	 * @param server on which the request ran
	 * @param evidence identity of the request
	 */
	public recordBrokenConnection(server: RunningServer, evidence: CrashEvidence): void {
		const now = this.context.clock.now();
		const key = serverKeyOf(server);
		if (now - (this.endedAt.get(key) ?? -Infinity) <= CRASH_WINDOW_MS) {
			this.recordCrash(key, [evidence], now);
			return;
		}
		this.broken = this.broken.filter(({ at }) => now - at <= CRASH_WINDOW_MS);
		this.broken.push({ server, key, evidence, at: now });
		if (!this.probes.has(key)) {
			const probe = Effect.runPromise(this.probe(server, key)).then(() => void this.probes.delete(key));
			this.probes.set(key, probe);
		}
	}

	/**
	 * Waits until a probe has shown whether a server has ended, if one more crash would quarantine a request that ran there.
	 * Otherwise the request would be sent to the next server before it is known that the last one has ended.
	 *
	 * @param server on which the request ran
	 * @param request short key of the request
	 * @returns an effect that ends with the probe, or after a time limit
	 */
	public awaitEvidence(server: RunningServer, request: () => number): Effect.Effect<void> {
		const probe = this.probes.get(serverKeyOf(server));
		return probe !== undefined && this.context.suspects.request.isAlmostQuarantined(request())
			? Effect.asVoid(
					Effect.timeoutOption(
						Effect.promise(() => probe),
						EVIDENCE_TIMEOUT_MS,
					),
				)
			: Effect.void;
	}

	/**
	 * Records that a server refuses connections.
	 *
	 * @param server that cannot be reached
	 */
	public recordUnreachable(server: RunningServer): void {
		this.recordEnd(serverKeyOf(server));
	}

	/**
	 * Records that a server has registered. Another one that ran at its address has ended, also if it was replaced before
	 * it could be probed.
	 *
	 * @param server as registered
	 */
	public recordRegistration(server: RunningServer): void {
		const key = serverKeyOf(server);
		const replaced = this.broken.filter((item) => item.server.url === server.url && item.key !== key);
		new Set(replaced.map((item) => item.key)).forEach((replacedKey) => this.recordEnd(replacedKey));
	}

	/**
	 * Records that a server has ended, as this router or another one has found. Its own probe may have found nothing, since
	 * its link loses packets.
	 *
	 * @param key of the incarnation, see {@link serverKeyOf}
	 */
	public recordEnd(key: number): void {
		const now = this.context.clock.now();
		for (const [ended, at] of this.endedAt) {
			if (now - at > CRASH_WINDOW_MS) {
				this.endedAt.delete(ended);
			}
		}
		const crashed = this.broken.filter((item) => item.key === key && now - item.at <= CRASH_WINDOW_MS);
		const [first] = crashed;
		this.broken = this.broken.filter((item) => item.key !== key);
		this.endedAt.set(key, now);
		if (first !== undefined) {
			this.context.reportCrash(first.server.id, crashed.length);
			this.recordCrash(
				key,
				crashed.map(({ evidence }) => evidence),
				now,
			);
		}
	}

	private probe(server: RunningServer, key: number): Effect.Effect<void> {
		const self = this;
		return Effect.gen(function* () {
			for (let count = 0; count < MAXIMUM_PROBES; count++) {
				const result = yield* Effect.catchDefect(self.context.probe(server), () => Effect.succeed('unknown' as const));
				const requests = self.broken.filter((item) => item.key === key).length;
				self.context.reportProbe(server.id, result, requests);
				if (result === 'refusing') {
					self.recordEnd(key);
				}
				if (result !== 'unknown') {
					return;
				}
			}
		});
	}

	private recordCrash(server: number, evidence: readonly CrashEvidence[], now: number): void {
		const { suspects } = this.context;
		const requests = [...new Set(evidence.map(({ request }) => request))];
		const parts = [...new Set(evidence.flatMap((item) => item.parts))];
		suspects.request.recordCrash({ server, suspects: requests }, now);
		suspects.part.recordCrash({ server, suspects: parts }, now);
	}
}

/**
 * @param server registration of a server
 * @returns the incarnation that serves at its address
 */
export function runningServerOf({ id, address, startedAt }: RegisteredServer): RunningServer {
	return { id, url: `http://${address}`, startedAt };
}

/**
 * @param server incarnation of a server
 * @returns short key that all routers use for it
 */
export function serverKeyOf({ id, startedAt }: RunningServer): number {
	return shortKey(`${id} ${startedAt ?? ''}`);
}
