import { Effect } from 'effect';
import type { BackendTarget } from '../../backends/common/backendClient.js';
import type { ProbeResult, ServerProbe } from '../../backends/common/serverProbe.js';
import type { Suspects } from '../../backends/common/suspectRegistry.js';
import type { IClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';

/** A connection that breaks within this time before or after its server is found to refuse connections broke by its crash. */
const CRASH_WINDOW_MS = 2_000;

/** Identity of a request for the evidence of crashes. */
export interface CrashEvidence {
	/** Short key of the whole request. */
	readonly request: number;
	/** Short keys of the prompt parts that other requests may share, and that the server has not survived. */
	readonly parts: readonly number[];
}

interface BrokenRequest {
	readonly server: string;
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
 * lost for other reasons too. It counts if the server then refuses connections, which a probe shows at once.
 *
 * Load pattern: one request, or one part of many prompts, crashes each server that starts it.
 */
export class CrashDetector {
	private broken: BrokenRequest[] = [];
	private readonly crashedAt = new Map<string, number>();
	private readonly probing = new Set<string>();

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
		return suspects.part.hasQuarantines ? suspects.part.quarantineMs(parts(), clock.now()) : 0;
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
	public recordBrokenConnection(server: BackendTarget, evidence: CrashEvidence): void {
		const now = this.context.clock.now();
		if (now - (this.crashedAt.get(server.id) ?? -Infinity) <= CRASH_WINDOW_MS) {
			this.recordCrash(server.id, [evidence], now);
			return;
		}
		this.broken = this.broken.filter(({ at }) => now - at <= CRASH_WINDOW_MS);
		this.broken.push({ server: server.id, evidence, at: now });
		if (this.probing.has(server.id)) {
			return;
		}
		this.probing.add(server.id);
		Effect.runFork(
			Effect.map(this.context.probe(server), (result) => {
				this.probing.delete(server.id);
				const requests = this.broken.filter((item) => item.server === server.id).length;
				this.context.reportProbe(server.id, result, requests);
				if (result === 'refusing') {
					this.recordUnreachable(server.id);
				}
			}),
		);
	}

	/**
	 * Records that a server refuses connections.
	 *
	 * @param server identifier of the server
	 */
	public recordUnreachable(server: string): void {
		const now = this.context.clock.now();
		const crashed = this.broken.filter((item) => item.server === server && now - item.at <= CRASH_WINDOW_MS);
		this.broken = this.broken.filter((item) => item.server !== server);
		if (crashed.length === 0) {
			return;
		}
		for (const [id, at] of this.crashedAt) {
			if (now - at > CRASH_WINDOW_MS) {
				this.crashedAt.delete(id);
			}
		}
		this.crashedAt.set(server, now);
		this.context.reportCrash(server, crashed.length);
		this.recordCrash(
			server,
			crashed.map(({ evidence }) => evidence),
			now,
		);
	}

	private recordCrash(id: string, evidence: readonly CrashEvidence[], now: number): void {
		const { suspects } = this.context;
		const server = shortKey(id);
		const requests = [...new Set(evidence.map(({ request }) => request))];
		const parts = [...new Set(evidence.flatMap((item) => item.parts))];
		suspects.request.recordCrash({ server, suspects: requests }, now);
		suspects.part.recordCrash({ server, suspects: parts }, now);
	}
}
