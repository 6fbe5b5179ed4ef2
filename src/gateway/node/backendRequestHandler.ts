import { Effect, type Exit } from 'effect';
import {
	clampRetryMs,
	decideAdmission,
	overShareRetryAfterMs,
	type AdmissionDecision,
} from '../../admission/common/admission.js';
import type {
	BackendFailure,
	ResponseHead,
	BackendRequest,
	ConnectionEnd,
	IAttemptSink,
	IBackendClient,
	RequestLimitNotice,
	ServerLoadNotice,
	ServerNotice,
} from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';
import { formatShortKeys, shortKey } from '../../base/common/shortKey.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import { timeoutAfterPoll } from '../../base/node/eventLoop.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { computeFingerprint } from '../../dispatch/node/fingerprint.js';
import type { RegisteredServer } from '../../engines/common/directory.js';
import type { EngineOption, PlacementLimits, PromptWork } from '../../engines/common/engineChoice.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { Reservation } from '../../engines/common/placementMessages.js';
import { exceedsMemory, reservedOutputTokens } from '../../engines/common/serverMemory.js';
import type { IQueueReservations, ReservationResult } from '../../engines/common/queueReservations.js';
import type { ServerOutcome } from '../../engines/common/serverOutcomes.js';
import type { IStreamVersions, StreamIdentity } from '../../streams/common/streamVersions.js';
import type { FleetShares, ShareStatus } from '../../shares/common/fleetShares.js';
import { type AcceptedRequest, accountKeyOf } from '../common/acceptedRequest.js';
import { type CrashDetector, type RunningServer, runningServerOf } from '../common/crashDetector.js';
import { AttemptProgress } from '../common/attemptProgress.js';
import { type IHeaderCodec, sharedPartKeys } from '../common/ingress.js';
import { expectedResponseBytes, requestCost } from '../common/requestCost.js';
import type { FleetRetryBudget } from '../common/fleetRetryBudget.js';
import type { GatewayResponse, LocalResponse } from './gatewayResponse.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { IRequestHandler } from './requestHandler.js';
import { ResponseContinuity } from './responseContinuity.js';

/** Dependencies of a request that runs on backend servers. */
export interface BackendRequestContext {
	readonly clock: IClock;
	readonly fleet: EngineFleet;
	readonly reservations: IQueueReservations;
	readonly shares: FleetShares;
	readonly client: IBackendClient;
	readonly codec: IHeaderCodec;
	readonly retryBudget: FleetRetryBudget;
	readonly streamVersions: IStreamVersions;
	readonly crashes: CrashDetector;
	readonly log: IDecisionLog;
	readonly metrics: GatewayMetrics;
	/** Budget for responses that are held for slow callers; when absent, servers are paused instead. */
	readonly responseBudget?: MemoryBudget | undefined;
}

/** Retry delay in milliseconds for a caller whose request was sent to servers but not run. */
const NOT_RUN_RETRY_MS = 150;

/** Excess over the expected wait beyond which another server is likely to be better: the prefill time of a short prompt. */
const WAIT_TOLERANCE_MS = 40;

/** Number of declined reservations after which a request accepts any wait up to the limit of its admission. */
const SELECTIVE_CHOICES = 2;

/** Maximum number of declined reservations for one request; if so many servers are full, the next one most likely is too. */
const MAXIMUM_DECLINED = 5;

const NO_SERVERS: ReadonlySet<string> = new Set();

const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const GATEWAY_TIMEOUT = 504;
const MINIMUM_ERROR_STATUS = 500;

type PlaceDecision = AdmissionDecision & { readonly kind: 'place' };

/** Admission decision for a request, and its reservation if another router owns the server's queue. */
interface Placement {
	readonly decision: AdmissionDecision;
	readonly reservation: Reservation | undefined;
}

/** Runs one request on backend servers until its response has ended. */
export class BackendRequestHandler implements IRequestHandler {
	private readonly triedServers = new Set<string>();
	private readonly work: PromptWork;
	private readonly cost: number;
	private readonly continuity: ResponseContinuity;
	/** Short keys of the prompt parts that other requests may share: all but the last one. */
	private readonly sharedParts: readonly number[];
	/** Computed when it is first needed, since the body is hashed for it. */
	private computedKey: number | undefined;
	/** Combined verdict of the attempts that have ended. */
	private endedVerdict: Verdict = 'not-run';
	/** Whether the current attempt has sent bytes, so that its server may run the request. */
	private inProgress = false;
	private attempts = 0;
	private firstBytesAt: number | undefined;
	private predictedMs: number | undefined;
	private lastBytesAt = 0;
	private longestPauseMs = 0;
	/** Software version at which the stream has begun, and must go on; undefined while it has not. */
	private begunAt: { readonly version: string | undefined } | undefined;
	/** Progress of the current attempt. */
	private progress = this.startProgress();
	private status = 0;
	private reason = '';

	private constructor(
		private readonly context: BackendRequestContext,
		private readonly request: AcceptedRequest,
		private readonly response: GatewayResponse,
		private readonly mayStart: () => boolean,
	) {
		const { fields, routing } = request;
		this.work = {
			parts: fields.parts,
			promptTokens: fields.promptTokens,
			tokensPerEvent: request.engine?.tokensPerEvent ?? 1,
			pauseAimMs: routing.route.pauseAimMs ?? Infinity,
			memoryTokens: request.engine?.memoryTokens,
			path: { draw: Math.random(), bytes: request.body.length + expectedResponseBytes(fields) },
			outputTokens: this.countsMemory ? reservedOutputTokens(fields) : undefined,
		};
		this.cost = requestCost(fields);
		this.sharedParts = sharedPartKeys(fields);
		this.continuity = ResponseContinuity.create(routing.route.resumable);
	}

	/**
	 * @param context dependencies
	 * @param request to run
	 * @param response receives the response
	 * @param mayStart returns whether a request that has not been sent yet may be sent
	 * @returns a handler that has not been started
	 */
	public static create(
		context: BackendRequestContext,
		request: AcceptedRequest,
		response: GatewayResponse,
		mayStart: () => boolean,
	): BackendRequestHandler {
		return new BackendRequestHandler(context, request, response, mayStart);
	}

	public run(): Effect.Effect<void> {
		const { routing, fields } = this.request;
		const limitMs = Math.min(fields.deadlineMs ?? Infinity, routing.route.timeoutMs);
		return this.runAttempts().pipe(
			Effect.catchDefect((defect) => Effect.sync(() => this.failUnexpectedly(defect))),
			(attempts) => timeoutAfterPoll(attempts, limitMs - (this.context.clock.now() - this.request.arrivedAt)),
			Effect.map((result) => {
				if (result._tag === 'None') {
					this.sendFailure('deadline', GATEWAY_TIMEOUT);
				}
			}),
			Effect.onExit((exit) => Effect.sync(() => this.finish(exit))),
		);
	}

	public abort(): void {
		this.sendFailure('shutting-down', BAD_GATEWAY);
	}

	/** Ends the request after an unexpected error in the router, without affecting other requests. */
	private failUnexpectedly(defect: unknown): void {
		this.context.log.write('request-failed-unexpectedly', {
			id: this.request.fields.id,
			verdict: this.verdict,
			reason: defect instanceof Error ? defect.stack : String(defect),
		});
		this.sendFailure('internal-error', BAD_GATEWAY);
	}

	/** Verdict over all attempts, including the current one. */
	private get verdict(): Verdict {
		return combineVerdicts(this.endedVerdict, this.inProgress ? 'may-have-run' : 'not-run');
	}

	private runAttempts(): Effect.Effect<void> {
		const self = this;
		return Effect.gen(function* () {
			self.countRequest();
			if (self.isTooLarge() || !(yield* self.findBegunVersion())) {
				return;
			}
			for (;;) {
				if (self.isQuarantined() || self.isTooLate()) {
					return;
				}
				const { decision, reservation } = yield* self.place();
				if (decision.kind === 'refuse') {
					self.refuse(decision);
					return;
				}
				const result = yield* Effect.result(self.attempt(decision.option, reservation));
				self.inProgress = false;
				if (result._tag === 'Success') {
					self.complete();
					return;
				}
				const failure = result.failure;
				self.endedVerdict = combineVerdicts(self.endedVerdict, failure.verdict);
				self.logFailure(decision.option, failure);
				yield* self.context.crashes.awaitEvidence(runningServerOf(decision.option.server), self.requestKey);
				if (!self.mayRetry(failure)) {
					self.sendFailure(`server-${failure.kind}`, BAD_GATEWAY);
					return;
				}
				self.continuity.prepareNextAttempt();
			}
		});
	}

	/** Finds the version of the stream that the request takes up; refuses the request when it is not known. */
	private findBegunVersion(): Effect.Effect<boolean> {
		const { fields, routing } = this.request;
		if (fields.resumption === undefined || !routing.route.resumable) {
			return Effect.succeed(true);
		}
		const { streamVersions, log, metrics } = this.context;
		const stream = this.streamOf(fields.resumption.firstAttempt);
		return Effect.map(streamVersions.findOrigin(routing.service, stream), (origin) => {
			const { source, version } = origin.kind === 'known' ? origin : { source: 'unknown' as const, version: undefined };
			metrics.countResumption(routing.service, source);
			log.write('stream-taken-up', { id: fields.id, resumes: stream.attempt, source, version });
			if (origin.kind === 'known') {
				this.begunAt = { version: origin.version };
				return true;
			}
			const deadlineLeftMs = fields.deadlineMs ?? routing.route.timeoutMs;
			// A version that will not be known makes any earlier retry futile.
			const retryAfterMs = origin.isTemporary ? NOT_RUN_RETRY_MS : clampRetryMs(Infinity, { deadlineLeftMs });
			this.sendFailure('unknown-stream-version', BAD_GATEWAY, retryAfterMs);
			return false;
		});
	}

	private streamOf(attempt: string | undefined): StreamIdentity {
		return { account: this.request.routing.account?.name ?? '', attempt };
	}

	/** Whether the request goes on with a stream, whose work was admitted when it began. */
	private get isContinuation(): boolean {
		return this.begunAt !== undefined;
	}

	/** Whether what has become known since the server was chosen still allows the request to be sent to it. */
	private maySendTo(server: string): boolean {
		const { fleet, clock } = this.context;
		const isStartable = this.mayStart() || this.verdict !== 'not-run';
		return fleet.allowsRequest(server, clock.now()) && this.quarantineMs() === 0 && isStartable;
	}

	/** Whether the memory of the servers of the request is counted. */
	private get countsMemory(): boolean {
		return this.request.engine !== undefined && this.context.fleet.measuresSpeed(this.request.routing.service);
	}

	/** Refuses the request permanently if it exceeds the memory of every server of its service. */
	private isTooLarge(): boolean {
		const { fields, routing, engine } = this.request;
		if (engine === undefined || !this.countsMemory) {
			return false;
		}
		const { promptTokens, expectedOutputTokens } = fields;
		const { memoryTokens } = engine;
		if (!exceedsMemory(promptTokens, fields, memoryTokens)) {
			return false;
		}
		this.context.log.write('admission', {
			id: fields.id,
			route: routing.route.name,
			account: routing.account?.name,
			service: routing.service,
			outcome: 'exceeds-memory',
			promptTokens,
			expectedTokens: expectedOutputTokens,
			memoryTokens,
		});
		this.context.metrics.countMemoryRefusal(routing.service, 'too-small');
		// No earlier retry can succeed. A status of 4xx would deny a request that the configuration allows.
		const retryAfterMs = clampRetryMs(Infinity, { deadlineLeftMs: fields.deadlineMs ?? routing.route.timeoutMs });
		this.sendFailure('exceeds-memory', BAD_GATEWAY, retryAfterMs);
		return true;
	}

	/** Refuses the request if it, or a part of its prompt, crashes servers. */
	private isQuarantined(): boolean {
		const quarantineMs = this.quarantineMs();
		if (quarantineMs === 0) {
			return false;
		}
		this.context.log.write('admission', {
			id: this.request.fields.id,
			outcome: 'quarantined',
			quarantineMs: round(quarantineMs),
		});
		this.sendFailure('quarantined', BAD_GATEWAY, quarantineMs);
		return true;
	}

	/** Milliseconds for which the request, or a part of its prompt, must not run; 0 when it may. */
	private quarantineMs(): number {
		const { crashes } = this.context;
		return Math.max(
			crashes.requestQuarantineMs(this.requestKey),
			crashes.partQuarantineMs(() => this.sharedParts),
		);
	}

	/** Refuses the request if it has not run and the router is about to stop, since it could be cut off. */
	private isTooLate(): boolean {
		if (this.mayStart() || this.verdict !== 'not-run') {
			return false;
		}
		this.sendFailure('shutting-down', BAD_GATEWAY);
		return true;
	}

	private startProgress(): AttemptProgress {
		return AttemptProgress.create(() => this.context.crashes.recordSurvival(this.sharedParts));
	}

	private countRequest(): void {
		const { clock, retryBudget } = this.context;
		retryBudget.countRequest(this.request.routing.service, clock.now());
	}

	/** Chooses a server and reserves a place with the router that owns its queue; chooses again if that router declines. */
	private place(): Effect.Effect<Placement> {
		const self = this;
		return Effect.gen(function* () {
			const declinedBy = new Set(self.triedServers);
			for (let declined = 0; ; declined++) {
				const now = self.context.clock.now();
				const { routing } = self.request;
				const options = self.options(now);
				const shareStatus = self.context.shares.shareStatusOf(accountKeyOf(routing), now);
				const elapsedMs = now - self.request.arrivedAt;
				if (declined >= MAXIMUM_DECLINED) {
					options.forEach(({ server }) => declinedBy.add(server.id));
				}
				const decision = decideAdmission({
					options,
					declinedBy,
					shareStatus,
					isContinuation: self.isContinuation,
					aimMs: routing.route.aimMs,
					aimLeftMs: routing.route.aimMs - self.request.elapsedBeforeMs - elapsedMs,
					retryJitter: Math.random(),
					deadlineLeftMs: (self.request.fields.deadlineMs ?? routing.route.timeoutMs) - elapsedMs,
				});
				if (decision.kind === 'refuse') {
					self.logAdmission({ decision, reservation: undefined }, options, shareStatus, declined);
					return { decision, reservation: undefined };
				}
				const result = yield* self.context.reservations.reserve(
					decision.option,
					self.work,
					self.serversToAvoid(),
					reservationLimits(decision, declined),
					{ account: accountKeyOf(routing), cost: self.isContinuation ? 0 : self.cost },
				);
				if (result.kind === 'over-share') {
					const refusal = self.overShare(decision);
					self.logAdmission({ decision: refusal, reservation: undefined }, options, shareStatus, declined);
					return { decision: refusal, reservation: undefined };
				}
				if (result.kind !== 'declined') {
					const placement = toPlacement(decision, result, options);
					self.logAdmission(placement, options, shareStatus, declined);
					return placement;
				}
				if (declined >= SELECTIVE_CHOICES) {
					declinedBy.add(decision.option.server.id);
				}
			}
		});
	}

	/** Refusal when the owner of a queue has found that the account has started more than its share there. */
	private overShare({ limitMs }: PlaceDecision): AdmissionDecision & { readonly kind: 'refuse' } {
		const { routing, fields, arrivedAt } = this.request;
		const elapsedMs = this.context.clock.now() - arrivedAt;
		const deadlineLeftMs = (fields.deadlineMs ?? routing.route.timeoutMs) - elapsedMs;
		const retryAfterMs = overShareRetryAfterMs(0, { aimMs: routing.route.aimMs, deadlineLeftMs });
		return { kind: 'refuse', reason: 'over-share', retryAfterMs, limitMs };
	}

	/**
	 * Returns the servers that were not tried yet. If all have been tried, it returns all of them: none is chosen again,
	 * but their state determines when the caller may retry.
	 */
	private options(now: number): readonly EngineOption[] {
		const { fleet } = this.context;
		const { service } = this.request.routing;
		const mayServe = ({ server }: EngineOption): boolean => this.mayServe(server);
		const untried = fleet.rankedOptions(service, this.work, this.triedServers, now).filter(mayServe);
		return untried.length > 0 || this.triedServers.size === 0
			? untried
			: fleet.rankedOptions(service, this.work, NO_SERVERS, now).filter(mayServe);
	}

	/** Whether a server may receive the request, by the version at which its stream has begun. */
	private mayServe({ softwareVersion }: RegisteredServer): boolean {
		return this.begunAt === undefined || (softwareVersion !== undefined && this.begunAt.version === softwareVersion);
	}

	/** Identifiers of the servers that the owner of a queue must not choose. */
	private serversToAvoid(): ReadonlySet<string> {
		const servers = this.isContinuation ? this.context.fleet.listServers(this.request.routing.service) : [];
		const others = servers.filter((server) => !this.mayServe(server)).map(({ id }) => id);
		return new Set([...this.triedServers, ...others]);
	}

	private logAdmission(
		{ decision, reservation }: Placement,
		options: readonly EngineOption[],
		shareStatus: ShareStatus,
		declined: number,
	): void {
		const { routing, fields, arrivedAt, elapsedBeforeMs, engine } = this.request;
		const elapsedMs = this.context.clock.now() - arrivedAt;
		const option = decision.kind === 'place' ? decision.option : options[0];
		this.context.log.write('admission', {
			id: fields.id,
			route: routing.route.name,
			account: routing.account?.name,
			service: routing.service,
			configuration: this.request.configurationVersion,
			outcome: decision.kind === 'place' ? 'placed' : decision.reason,
			server: option?.server.id,
			softwareVersion: option?.server.softwareVersion,
			domain: option?.server.failureDomain,
			domainCostMs: round(this.context.fleet.domainCostMs(routing.service, this.work, this.context.clock.now())),
			resumes: fields.resumption?.firstAttempt,
			resumesAfter: this.continuity.lastEventId ?? fields.resumption?.lastEventId,
			waitMs: round(reservation?.waitMs ?? option?.waitMs),
			delayMs: round(reservation?.delayMs ?? option?.delayMs),
			readMs: round(option?.readMs),
			limitMs: round(decision.limitMs),
			aimLeftMs: round(routing.route.aimMs - elapsedBeforeMs - elapsedMs),
			elapsedMs: round(elapsedMs),
			reservation: reservation?.sequence,
			confirmed: reservation?.confirmed,
			declined: declined > 0 ? declined : undefined,
			inProgress: option?.inProgress,
			heldTokens: this.countsMemory ? option?.heldTokens : undefined,
			memoryWaitMs: this.countsMemory ? round(option?.memoryWaitMs) : undefined,
			load: option && Number(option.load.toFixed(2)),
			workTime: option?.workTime === undefined ? undefined : Number(option.workTime.toFixed(2)),
			failureRate: option && Number(option.health.failureRate.toFixed(2)),
			rereadTokens: option?.rereadTokens,
			promptTokens: fields.promptTokens,
			ownTokens: fields.parts.at(-1)?.tokens,
			outputTokens: fields.maximumOutputTokens,
			expectedTokens: fields.expectedOutputTokens,
			deadlineMs: fields.deadlineMs,
			cost: round(this.cost),
			offeredShare: Number(shareStatus.offeredShare.toFixed(2)),
			usedShare: Number(shareStatus.usedShare.toFixed(2)),
			level: Number.isFinite(shareStatus.level) ? Math.round(shareStatus.level) : undefined,
			servers: options.length,
			retryAfterMs: decision.kind === 'refuse' ? round(decision.retryAfterMs) : undefined,
			plain: engine === undefined ? true : undefined,
		});
	}

	private attempt(option: EngineOption, reservation: Reservation | undefined): Effect.Effect<void, BackendFailure> {
		const { fleet, shares, client, codec, clock, metrics } = this.context;
		const { request } = this;
		const { fields, routing } = request;
		const now = clock.now();
		const { server } = option;
		const target = runningServerOf(server);
		const leavesDomain = server.failureDomain !== fleet.failureDomain;
		this.attempts++;
		this.progress = this.startProgress();
		this.triedServers.add(server.id);
		const sequence = fleet.place(option, this.work, now, reservation);
		if (request.engine !== undefined) {
			if (this.attempts === 1) {
				shares.recordAdmitted(accountKeyOf(routing), this.cost, now);
			}
			this.predictedMs = now - request.arrivedAt + (reservation?.waitMs ?? option.waitMs) + option.readMs;
		}
		const state = {
			hadFirstEvent: request.engine === undefined,
			failed: false,
			sentAt: now,
			resumptionFault: undefined as string | undefined,
		};
		const sink: IAttemptSink = {
			sent: () => {
				this.inProgress = true;
				state.sentAt = clock.now();
				this.context.crashes.recordSent(this.requestKey, this.sharedParts);
				if (leavesDomain) {
					metrics.countLeftDomain(routing.service, server.failureDomain, request.body.length);
				}
			},
			notice: (notice) => this.recordNotice(server, notice),
			requestLimit: (notice) => this.recordRequestLimit(server, notice, state.sentAt),
			load: (notice) => this.recordLoad(server, notice),
			head: (head) => {
				state.failed = head.status >= MINIMUM_ERROR_STATUS;
				if (this.response.hasHead) {
					state.resumptionFault = this.continuity.findHeadFault(head);
				} else {
					this.forwardHead(head);
				}
			},
			findFault: () => state.resumptionFault ?? this.continuity.findFault(),
			connectionEnded: (end) => this.logConnectionEnd(server.id, end),
			write: (chunk, resume) => {
				if (state.resumptionFault !== undefined) {
					return true; // The body of a failed resumption is not part of the stream.
				}
				if (!state.hadFirstEvent) {
					state.hadFirstEvent = true;
					fleet.recordFirstEvent(server.id, sequence, clock.now());
				}
				this.progress.recordBytes(chunk.length, clock.now());
				this.recordBytes();
				return this.forwardBytes(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length), resume, server);
			},
		};
		const outgoingRequest = (): BackendRequest => ({
			method: request.method,
			path: request.target,
			authority: request.host,
			headers: codec.encode(request.headers, {
				server: server.id,
				account: routing.account?.name,
				deadlineLeftMs: fields.deadlineMs && fields.deadlineMs - (clock.now() - request.arrivedAt),
				resumeAfter: this.continuity.lastEventId,
			}),
			body: request.body,
			retainBody: request.retainBody,
		});
		const call = Effect.suspend(() =>
			this.maySendTo(server.id) ? client.call(target, outgoingRequest(), sink) : Effect.fail(notSentFailure(server.id)),
		);
		const delayMs = Math.round(reservation?.delayMs ?? option.delayMs);
		return (delayMs > 0 ? Effect.andThen(Effect.sleep(delayMs), call) : call).pipe(
			Effect.flatMap(() => {
				const fault = state.resumptionFault ?? this.continuity.findEndFault();
				return fault === undefined ? Effect.void : Effect.fail(invalidResponseFailure(server.id, fault));
			}),
			Effect.onExit((exit) =>
				Effect.sync(() => {
					const endedAt = clock.now();
					if (leavesDomain) {
						metrics.countBytesFromOtherDomain(routing.service, server.failureDomain, this.progress.bytes);
					}
					const slotTimeMs = exit._tag === 'Success' && this.firstBytesAt !== undefined ? endedAt - now : undefined;
					const outcome = this.outcomeOf(target, exit, state.failed);
					fleet.recordEnd(server.id, sequence, { hadFirstEvent: state.hadFirstEvent, slotTimeMs, outcome }, endedAt);
				}),
			),
		);
	}

	private recordNotice(
		{ id: server, startedAt }: RegisteredServer,
		{ isLeaving, restMs, unreadableTime }: ServerNotice,
	): void {
		const { fleet, clock, log, metrics } = this.context;
		const { service } = this.request.routing;
		if (isLeaving) {
			fleet.recordLeaving(server, startedAt);
			metrics.countServerNotice(service, 'leaving');
		}
		if (restMs !== undefined) {
			fleet.recordBackoff(server, restMs, clock.now());
			metrics.countServerNotice(service, 'rest');
		}
		if (unreadableTime !== undefined) {
			metrics.countServerNotice(service, 'unreadable');
		}
		log.write('server-notice', {
			id: this.request.fields.id,
			server,
			isLeaving,
			restMs: round(restMs),
			unreadableTime,
		});
	}

	private recordRequestLimit(
		{ id: server, startedAt }: RegisteredServer,
		{ requestsPerSecond, unreadableLimit }: RequestLimitNotice,
		sentAt: number,
	): void {
		const { fleet, clock, log, metrics } = this.context;
		const { service } = this.request.routing;
		const { id } = this.request.fields;
		if (unreadableLimit !== undefined) {
			metrics.countServerNotice(service, 'unreadable');
			log.write('request-limit', { id, server, unreadableLimit });
			return;
		}
		if (requestsPerSecond !== undefined) {
			metrics.countServerNotice(service, 'limit');
		}
		if (fleet.recordRequestLimit({ server, startedAt, requestsPerSecond }, sentAt, clock.now())) {
			log.write('request-limit', { id, server, requestsPerSecond, isLimited: requestsPerSecond !== undefined });
		}
	}

	private recordLoad({ id: server }: RegisteredServer, { load, unreadableLoad }: ServerLoadNotice): void {
		const { fleet, clock, log, metrics } = this.context;
		const { service } = this.request.routing;
		const { id } = this.request.fields;
		if (load === undefined) {
			metrics.countServerNotice(service, 'unreadable');
			if (fleet.recordUnreadableLoad(server)) {
				log.write('server-load', { id, server, unreadableLoad });
			}
			return;
		}
		const reportedSpeed = fleet.reportsSpeed(service);
		fleet.recordLoad(server, load, clock.now());
		if (!reportedSpeed && fleet.reportsSpeed(service)) {
			log.write('server-load', { id, server, service, ...load, reportsSpeed: true });
		}
	}

	private forwardHead(head: ResponseHead): void {
		this.status = head.status;
		this.continuity.begin(head);
		this.response.head(head);
	}

	private forwardBytes(chunk: Buffer, resume: () => void, server: RegisteredServer): boolean {
		const ready = this.continuity.push(chunk);
		if (ready === undefined) {
			return true;
		}
		if (this.begunAt === undefined && this.request.routing.route.resumable) {
			this.recordBegin(server);
		}
		return this.response.write(ready, resume);
	}

	/** Records the version of the server whose first event is passed on. */
	private recordBegin({ softwareVersion }: RegisteredServer): void {
		const { fields, routing } = this.request;
		this.begunAt = { version: softwareVersion };
		const lifetimeMs = fields.deadlineMs ?? routing.route.timeoutMs;
		this.context.streamVersions.recordBegin(this.streamOf(fields.id), softwareVersion, lifetimeMs);
	}

	private recordBytes(): void {
		const now = this.context.clock.now();
		if (this.firstBytesAt !== undefined) {
			this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastBytesAt);
			this.lastBytesAt = now;
			return;
		}
		this.firstBytesAt = now;
		this.lastBytesAt = now;
		const observedMs = this.firstBytesAt - this.request.arrivedAt;
		this.context.metrics.observeFirstEvent(this.request.routing.service, observedMs, this.predictedMs);
	}

	/** Derives the outcome that is recorded for a server when an attempt ends, and records evidence of crashes. */
	private outcomeOf(
		server: RunningServer,
		exit: Exit.Exit<void, BackendFailure>,
		isErrorResponse: boolean,
	): ServerOutcome | undefined {
		if (exit._tag === 'Success') {
			this.progress.recordSurvival();
			this.context.crashes.recordCompletion(this.requestKey);
			return isErrorResponse ? 'failed' : 'answered';
		}
		const { crashes } = this.context;
		const [reason] = exit.cause.reasons;
		if (reason?._tag !== 'Fail') {
			return undefined; // The caller disconnected, which is no evidence about the server.
		}
		switch (reason.error.kind) {
			case 'withdrawn':
				return undefined; // Nothing was sent.
			case 'refused':
			case 'fenced':
				return 'refused';
			case 'unreachable':
				crashes.recordUnreachable(server);
				return 'unreachable';
			case 'silent':
				return 'silent';
			case 'broken':
				crashes.recordBrokenConnection(server, {
					request: this.requestKey(),
					parts: this.progress.hasSurvived ? [] : this.sharedParts,
				});
				return 'failed';
		}
	}

	private mayRetry(failure: BackendFailure): boolean {
		const { routing } = this.request;
		const { route } = routing;
		const mayHaveRun = failure.verdict !== 'not-run';
		if (mayHaveRun && (route.repeatPolicy === 'once' || this.attempts >= route.maximumAttempts)) {
			return false;
		}
		if (this.response.hasHead && !route.resumable) {
			return false;
		}
		const { retryBudget, clock, metrics } = this.context;
		const wasSent = failure.kind !== 'unreachable' && failure.kind !== 'withdrawn';
		if (wasSent && !retryBudget.tryRetry(routing.service, clock.now())) {
			return false;
		}
		metrics.countRetry(routing.service);
		return true;
	}

	private complete(): void {
		const remaining = this.continuity.takeBuffered();
		if (remaining !== undefined) {
			this.response.write(remaining, () => undefined);
		}
		this.endedVerdict = 'completed';
		this.response.end();
	}

	private refuse(decision: AdmissionDecision & { readonly kind: 'refuse' }): void {
		if (decision.isMemoryShort === true) {
			this.context.metrics.countMemoryRefusal(this.request.routing.service, 'full');
		}
		if (this.verdict !== 'not-run') {
			this.sendLocal({ status: BAD_GATEWAY, code: decision.reason, verdict: this.verdict });
			return;
		}
		this.sendLocal({
			status: decision.reason === 'over-share' ? TOO_MANY_REQUESTS : SERVICE_UNAVAILABLE,
			code: decision.reason,
			verdict: 'not-run',
			retryAfterMs: decision.retryAfterMs,
		});
	}

	/**
	 * Ends a request that has no complete response from a backend server.
	 *
	 * @param code short name of the reason
	 * @param statusAfterSending status if a server may have run the request
	 * @param retryAfterMs milliseconds after which the caller may retry if it was not run
	 */
	private sendFailure(code: string, statusAfterSending: number, retryAfterMs = NOT_RUN_RETRY_MS): void {
		const notRun = this.verdict === 'not-run';
		this.sendLocal({
			status: notRun ? SERVICE_UNAVAILABLE : statusAfterSending,
			code,
			verdict: this.verdict,
			retryAfterMs: notRun ? retryAfterMs : undefined,
		});
	}

	private sendLocal(localResponse: LocalResponse): void {
		this.reason = localResponse.code;
		if (!this.response.hasHead) {
			this.status = localResponse.status;
		}
		this.response.sendLocal(localResponse);
	}

	private logFailure(option: EngineOption, failure: BackendFailure): void {
		const { progress } = this;
		this.context.log.write('attempt-failed', {
			id: this.request.fields.id,
			server: option.server.id,
			kind: failure.kind,
			verdict: failure.verdict,
			attempt: this.attempts,
			headSent: this.response.hasHead,
			attemptBytes: progress.bytes,
			sinceFirstBytesMs: round(progress.sinceFirstBytesMs(this.context.clock.now())),
			parts: formatShortKeys(this.request.fields.parts.map(({ key }) => key)),
			reason: failure.message,
		});
	}

	private logConnectionEnd(server: string, connectionEnd: ConnectionEnd): void {
		const { progress, continuity } = this;
		this.context.log.write('unframed-response', {
			id: this.request.fields.id,
			server,
			attempt: this.attempts,
			connectionEnd,
			endsWithinEvent: continuity.endsWithinEvent,
			attemptBytes: progress.bytes,
			sinceFirstBytesMs: round(progress.sinceFirstBytesMs(this.context.clock.now())),
		});
	}

	private finish(exit: Exit.Exit<void>): void {
		const { clock, metrics, log } = this.context;
		const { fields, routing, arrivedAt } = this.request;
		const now = clock.now();
		const totalMs = now - arrivedAt;
		const hasCallerLeft = exit._tag === 'Failure' && this.reason === '';
		this.request.shareGrant?.settle(this.verdict, now);
		metrics.countRequest(
			routing.service,
			hasCallerLeft ? 0 : this.status,
			hasCallerLeft ? 'caller-left' : this.reason,
			totalMs,
		);
		log.write('request-end', {
			id: fields.id,
			status: this.status,
			reason: hasCallerLeft ? 'caller-left' : this.reason,
			verdict: this.verdict,
			attempts: this.attempts,
			totalMs: round(totalMs),
			firstBytesMs: round(this.firstBytesAt === undefined ? undefined : this.firstBytesAt - arrivedAt),
			predictedMs: round(this.predictedMs),
			longestPauseMs: round(this.longestPauseMs),
			bytes: this.response.bytes,
		});
	}

	/** Short key of the whole request, the same for each repetition by its caller. */
	private readonly requestKey = (): number => {
		const { routing, method, target, body } = this.request;
		this.computedKey ??= shortKey(
			computeFingerprint({
				account: { id: routing.account?.name ?? '' },
				service: { id: routing.service },
				request: { method, path: target, body },
			}),
		);
		return this.computedKey;
	};
}

/**
 * Returns the limits for a reservation. The reported state of a server may be outdated, so the first choices only accept
 * a wait close to the expected one, in order to try a better server otherwise. After {@link SELECTIVE_CHOICES} declined
 * reservations, the wait is only limited by the admission decision.
 */
function reservationLimits(
	{ option, limitMs, maximumLoad, maximumRereadTokens }: PlaceDecision,
	declined: number,
): PlacementLimits {
	const expectedLimitMs = declined < SELECTIVE_CHOICES ? option.waitMs + WAIT_TOLERANCE_MS : Infinity;
	return { limitMs: Math.min(limitMs, expectedLimitMs), maximumLoad, maximumRereadTokens };
}

/** The owner of the preferred server's queue may have reserved a place at another server whose queue it owns. */
function toPlacement(
	decision: PlaceDecision,
	result: Extract<ReservationResult, { readonly kind: 'kept-here' | 'reserved' }>,
	options: readonly EngineOption[],
): Placement {
	if (result.kind === 'kept-here') {
		return { decision, reservation: undefined };
	}
	const { reservation } = result;
	const option = options.find(({ server }) => server.id === reservation.server) ?? decision.option;
	return { decision: { ...decision, option }, reservation };
}

function notSentFailure(server: string): BackendFailure {
	const message = `nothing was sent to backend server ${server}, since the request may no longer be sent there`;
	return { kind: 'withdrawn', verdict: 'not-run', message };
}

function invalidResponseFailure(server: string, fault: string): BackendFailure {
	return { kind: 'broken', verdict: 'may-have-run', message: `backend server ${server} ${fault}` };
}

function round(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
