import { Effect } from 'effect';
import type { IAttemptSink, IBackendClient } from '../../backends/common/backendClient.js';
import type { IIdempotencyService } from '../../idempotency/common/idempotencyService.js';

/** Attempts at one backend server. */
export interface BackendCount {
	/** Attempts of which the first byte was sent. */
	readonly started: number;
	readonly running: number;
}

/** Counts the attempts of the backend client and the claims of at-most-once records, for metrics. */
export class DispatchCounters {
	private readonly backendCounts = new Map<string, BackendCount>();
	private readonly claimCounts = new Map<string, number>();

	private constructor() {}

	/** @returns counters at zero */
	public static create(): DispatchCounters {
		return new DispatchCounters();
	}

	/** Attempts by backend server. */
	public get backends(): ReadonlyMap<string, BackendCount> {
		return this.backendCounts;
	}

	/** Claims of at-most-once records by result. */
	public get claims(): ReadonlyMap<string, number> {
		return this.claimCounts;
	}

	/**
	 * @param client client that sends requests to backend servers
	 * @returns a wrapper that counts the client's attempts
	 */
	public countAttempts(client: IBackendClient): IBackendClient {
		return {
			call: (server, request, sink) =>
				Effect.suspend(() => {
					let started = false;
					const countingSink: IAttemptSink = {
						head: (head) => sink.head(head),
						write: (chunk, resume) => sink.write(chunk, resume),
						findFault: () => sink.findFault?.(),
						hasEndMarker: () => sink.hasEndMarker?.() === true,
						notice: (notice) => sink.notice?.(notice),
						requestLimit: (notice) => sink.requestLimit?.(notice),
						load: (notice) => sink.load?.(notice),
						sent: () => {
							started = true;
							this.addAttempt(server.id, 1, 1);
							sink.sent();
						},
					};
					return Effect.ensuring(
						client.call(server, request, countingSink),
						Effect.sync(() => started && this.addAttempt(server.id, 0, -1)),
					);
				}),
		};
	}

	/**
	 * @param service at-most-once records
	 * @returns a wrapper that counts the results of the service's claims
	 */
	public countClaims(service: IIdempotencyService): IIdempotencyService {
		return {
			lookup: (call) => service.lookup(call),
			claim: (call) =>
				Effect.tap(service.claim(call), ({ kind }) =>
					Effect.sync(() => this.claimCounts.set(kind, (this.claimCounts.get(kind) ?? 0) + 1)),
				),
			complete: (claim, outcome) => service.complete(claim, outcome),
			release: (claim) => service.release(claim),
		};
	}

	private addAttempt(server: string, started: number, running: number): void {
		const count = this.backendCounts.get(server) ?? { started: 0, running: 0 };
		this.backendCounts.set(server, { started: count.started + started, running: count.running + running });
	}
}
