import { Effect, type Exit } from 'effect';
import { decideAdmission, overShareRetryAfterMs, type AdmissionDecision } from '../../admission/common/admission.js';
import type {
	BackendFailure,
	ResponseHead,
	BackendRequest,
	IAttemptSink,
	IBackendClient,
	ServerNotice,
} from '../../backends/common/backendClient.js';
import type { IClock } from '../../base/common/clock.js';
import { shortKey } from '../../base/common/shortKey.js';
import { combineVerdicts, type Verdict } from '../../base/common/verdict.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { EventStream } from '../../dispatch/node/eventStream.js';
import { computeFingerprint } from '../../dispatch/node/fingerprint.js';
import type { EngineOption, PlacementLimits, PromptWork } from '../../engines/common/engineChoice.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { Reservation } from '../../engines/common/placementMessages.js';
import type { IQueueReservations, ReservationResult } from '../../engines/common/queueReservations.js';
import type { ServerOutcome } from '../../engines/common/serverOutcomes.js';
import type { FleetShares, ShareStatus } from '../../shares/common/fleetShares.js';
import type { AcceptedRequest } from '../common/acceptedRequest.js';
import type { CrashDetector } from '../common/crashDetector.js';
import type { IHeaderCodec } from '../common/ingress.js';
import { requestCost } from '../common/requestCost.js';
import type { FleetRetryBudget } from '../common/fleetRetryBudget.js';
import type { GatewayResponse, LocalResponse } from './gatewayResponse.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { IRequestHandler } from './requestHandler.js';

/** What runs need. */
export interface BackendRequestContext {
	readonly clock: IClock;
	readonly fleet: EngineFleet;
	readonly reservations: IQueueReservations;
	readonly shares: FleetShares;
	readonly client: IBackendClient;
	readonly codec: IHeaderCodec;
	readonly retryBudget: FleetRetryBudget;
	readonly crashes: CrashDetector;
	readonly log: IDecisionLog;
	readonly metrics: GatewayMetrics;
}

/** Time after which a refused caller may return when a server refused the request. */
const REFUSED_RETRY_MS = 150;

/** Difference to the expected wait from which another server is likely to be better: a short prompt's reading time. */
const WORSE_THAN_HEARD_MS = 40;

/** Choices after which a request takes any wait that it can bear. */
const PARTICULAR_CHOICES = 2;

/** Keepers that are asked for one request; where so many servers are full, the next one hardly has room. */
const MAXIMUM_DECLINED = 5;

const NO_SERVERS: ReadonlySet<string> = new Set();

const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const GATEWAY_TIMEOUT = 504;
const FIRST_ERROR_STATUS = 500;

type PlaceDecision = AdmissionDecision & { readonly kind: 'place' };

/** What was decided about a request, and its place in the queue that another router keeps. */
interface Choice {
	readonly decision: AdmissionDecision;
	readonly reservation: Reservation | undefined;
}

/** Runs one request until its answer has ended. */
export class BackendRequestHandler implements IRequestHandler {
	private readonly tried = new Set<string>();
	private readonly work: PromptWork;
	private readonly cost: number;
	private readonly events: EventStream | undefined;
	/** Verdict of the attempts that have ended. */
	private endedVerdict: Verdict = 'not-run';
	/** The attempt in progress has sent bytes, so its server may run the request. */
	private inProgress = false;
	private attempts = 0;
	private firstBytesAt: number | undefined;
	private predictedMs: number | undefined;
	private lastBytesAt = 0;
	private longestPauseMs = 0;
	private status = 0;
	private reason = '';

	private constructor(
		private readonly context: BackendRequestContext,
		private readonly request: AcceptedRequest,
		private readonly answer: GatewayResponse,
	) {
		const { fields, routing } = request;
		this.work = {
			parts: fields.parts,
			promptTokens: fields.promptTokens,
			tokensPerEvent: request.engine?.tokensPerEvent ?? 1,
			pauseAimMs: routing.route.pauseAimMs ?? Infinity,
		};
		this.cost = requestCost(fields);
		this.events = routing.route.resumable ? EventStream.create(true) : undefined;
	}

	/**
	 * @param context parts of the router
	 * @param request to run
	 * @param answer receives the answer
	 * @returns a run that has not begun
	 */
	public static create(
		context: BackendRequestContext,
		request: AcceptedRequest,
		answer: GatewayResponse,
	): BackendRequestHandler {
		return new BackendRequestHandler(context, request, answer);
	}

	public run(): Effect.Effect<void> {
		const { routing, fields } = this.request;
		const limitMs = Math.min(fields.deadlineMs ?? Infinity, routing.route.timeoutMs);
		return this.runAttempts().pipe(
			Effect.catchDefect((defect) => Effect.sync(() => this.endUnexpectedly(defect))),
			Effect.timeoutOption(limitMs - (this.context.clock.now() - this.request.arrivedAt)),
			Effect.map((result) => {
				if (result._tag === 'None') {
					this.sendUnfinished('deadline', GATEWAY_TIMEOUT);
				}
			}),
			Effect.onExit((exit) => Effect.sync(() => this.finish(exit))),
		);
	}

	public abort(): void {
		this.sendUnfinished('shutting-down', BAD_GATEWAY);
	}

	/** An error of the router's own ends the request that it belongs to. */
	private endUnexpectedly(defect: unknown): void {
		this.context.log.write('request-failed-unexpectedly', {
			id: this.request.fields.id,
			verdict: this.verdict,
			reason: defect instanceof Error ? defect.stack : String(defect),
		});
		this.sendUnfinished('internal-error', BAD_GATEWAY);
	}

	/** What is known of the request now. */
	private get verdict(): Verdict {
		return combineVerdicts(this.endedVerdict, this.inProgress ? 'may-have-run' : 'not-run');
	}

	private runAttempts(): Effect.Effect<void> {
		const self = this;
		return Effect.gen(function* () {
			if (self.isQuarantined()) {
				return;
			}
			self.countRequest();
			for (;;) {
				const { decision, reservation } = yield* self.decide();
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
				if (!self.mayTryAgain(failure)) {
					self.sendUnfinished(`server-${failure.kind}`, BAD_GATEWAY);
					return;
				}
				self.events?.discardBuffered();
			}
		});
	}

	private isQuarantined(): boolean {
		const { crashes, log } = this.context;
		const quarantineMs = crashes.hasSuspects ? crashes.quarantineMs(this.fingerprint()) : 0;
		if (quarantineMs === 0) {
			return false;
		}
		log.write('admission', { id: this.request.fields.id, outcome: 'quarantined', quarantineMs: round(quarantineMs) });
		this.sendOwn({
			status: SERVICE_UNAVAILABLE,
			code: 'quarantined',
			verdict: 'not-run',
			retryAfterMs: quarantineMs,
		});
		return true;
	}

	private countRequest(): void {
		const { clock, retryBudget } = this.context;
		retryBudget.countRequest(this.request.routing.service, clock.now());
	}

	/** Chooses a server, asks the router that keeps its queue, and chooses again when that declines. */
	private decide(): Effect.Effect<Choice> {
		const self = this;
		return Effect.gen(function* () {
			const declinedBy = new Set(self.tried);
			for (let declined = 0; ; declined++) {
				const now = self.context.clock.now();
				const { routing } = self.request;
				const options = self.options(now);
				const shareStatus = self.context.shares.shareStatusOf(self.accountKey(), now);
				const elapsedMs = now - self.request.arrivedAt;
				if (declined >= MAXIMUM_DECLINED) {
					options.forEach(({ server }) => declinedBy.add(server.id));
				}
				const decision = decideAdmission({
					options,
					declinedBy,
					shareStatus,
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
					self.tried,
					reservationTerms(decision, declined),
					{ account: self.accountKey(), cost: self.cost },
				);
				if (result.kind === 'over-share') {
					const refusal = self.overShare(decision);
					self.logAdmission({ decision: refusal, reservation: undefined }, options, shareStatus, declined);
					return { decision: refusal, reservation: undefined };
				}
				if (result.kind !== 'declined') {
					const choice = choiceOf(decision, result, options);
					self.logAdmission(choice, options, shareStatus, declined);
					return choice;
				}
				if (declined >= PARTICULAR_CHOICES) {
					declinedBy.add(decision.option.server.id);
				}
			}
		});
	}

	/** The keeper of a queue has found that the account has begun more than its share there. */
	private overShare({ limitMs }: PlaceDecision): AdmissionDecision & { readonly kind: 'refuse' } {
		const { routing, fields, arrivedAt } = this.request;
		const elapsedMs = this.context.clock.now() - arrivedAt;
		const deadlineLeftMs = (fields.deadlineMs ?? routing.route.timeoutMs) - elapsedMs;
		const retryAfterMs = overShareRetryAfterMs(0, { aimMs: routing.route.aimMs, deadlineLeftMs });
		return { kind: 'refuse', reason: 'over-share', retryAfterMs, limitMs };
	}

	/** Servers that were not tried; when all were, those that were tell when one may be asked again. */
	private options(now: number): readonly EngineOption[] {
		const { fleet } = this.context;
		const { service } = this.request.routing;
		const untried = fleet.rankedOptions(service, this.work, this.tried, now);
		return untried.length > 0 || this.tried.size === 0
			? untried
			: fleet.rankedOptions(service, this.work, NO_SERVERS, now);
	}

	private logAdmission(
		{ decision, reservation }: Choice,
		options: readonly EngineOption[],
		standing: ShareStatus,
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
			load: option && Number(option.load.toFixed(2)),
			failureRate: option && Number(option.health.failureRate.toFixed(2)),
			rereadTokens: option?.rereadTokens,
			promptTokens: fields.promptTokens,
			ownTokens: fields.parts.at(-1)?.tokens,
			outputTokens: fields.maximumOutputTokens,
			expectedTokens: fields.expectedOutputTokens,
			deadlineMs: fields.deadlineMs,
			cost: round(this.cost),
			offeredShare: Number(standing.offeredShare.toFixed(2)),
			usedShare: Number(standing.usedShare.toFixed(2)),
			level: Number.isFinite(standing.level) ? Math.round(standing.level) : undefined,
			servers: options.length,
			retryAfterMs: decision.kind === 'refuse' ? round(decision.retryAfterMs) : undefined,
			plain: engine === undefined ? true : undefined,
		});
	}

	private attempt(option: EngineOption, reservation: Reservation | undefined): Effect.Effect<void, BackendFailure> {
		const { fleet, shares, client, codec, clock } = this.context;
		const { request } = this;
		const { fields, routing } = request;
		const now = clock.now();
		const { server } = option;
		this.attempts++;
		this.tried.add(server.id);
		const sequence = fleet.place(option, this.work, now, reservation);
		if (request.engine !== undefined) {
			if (this.attempts === 1) {
				shares.recordAdmitted(this.accountKey(), this.cost, now);
			}
			this.predictedMs = now - request.arrivedAt + (reservation?.waitMs ?? option.waitMs) + option.readMs;
		}
		const state = {
			hadFirstEvent: request.engine === undefined,
			failed: false,
			resumeStatus: undefined as number | undefined,
		};
		const sink: IAttemptSink = {
			sent: () => (this.inProgress = true),
			notice: (notice) => this.takeNotice(server.id, notice),
			head: (head) => {
				state.failed = head.status >= FIRST_ERROR_STATUS;
				if (this.answer.hasHead && head.status !== this.status) {
					state.resumeStatus = head.status;
				} else {
					this.passHead(head);
				}
			},
			findFault: () => {
				if (state.resumeStatus !== undefined) {
					return notResumed(state.resumeStatus).message;
				}
				return this.events?.isEventOversized === true ? 'sent an event without end' : undefined;
			},
			write: (chunk, resume) => {
				if (state.resumeStatus !== undefined) {
					return true; // The body of a refusal to resume is no part of the stream.
				}
				if (!state.hadFirstEvent) {
					state.hadFirstEvent = true;
					fleet.recordFirstEvent(server.id, sequence, clock.now());
				}
				this.noteBytes();
				return this.passBytes(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length), resume);
			},
		};
		const outgoing = (): BackendRequest => ({
			method: request.method,
			path: request.target,
			authority: request.host,
			headers: codec.encode(request.headers, {
				server: server.id,
				account: routing.account?.name,
				deadlineLeftMs: fields.deadlineMs && fields.deadlineMs - (clock.now() - request.arrivedAt),
				resumeAfter: this.events?.lastEventId,
			}),
			body: request.body,
		});
		const call = Effect.suspend(() =>
			fleet.allowsRequest(server.id, clock.now())
				? client.call({ id: server.id, url: `http://${server.address}` }, outgoing(), sink)
				: Effect.fail(withdrawn(server.id)),
		);
		const delayMs = Math.round(reservation?.delayMs ?? option.delayMs);
		return (delayMs > 0 ? Effect.andThen(Effect.sleep(delayMs), call) : call).pipe(
			Effect.flatMap(() =>
				state.resumeStatus === undefined ? Effect.void : Effect.fail(notResumed(state.resumeStatus)),
			),
			Effect.onExit((exit) =>
				Effect.sync(() => {
					const endedAt = clock.now();
					const slotTimeMs = exit._tag === 'Success' && this.firstBytesAt !== undefined ? endedAt - now : undefined;
					const outcome = this.outcomeOf(server.id, exit, state.failed);
					fleet.recordEnd(server.id, sequence, { hadFirstEvent: state.hadFirstEvent, slotTimeMs, outcome }, endedAt);
				}),
			),
		);
	}

	private takeNotice(server: string, { isLeaving, restMs, unreadableTime }: ServerNotice): void {
		const { fleet, clock, log, metrics } = this.context;
		const { service } = this.request.routing;
		if (isLeaving) {
			fleet.recordLeaving(server);
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

	private passHead(head: ResponseHead): void {
		if (!this.answer.hasHead) {
			this.status = head.status;
			this.answer.head(head);
		}
	}

	private passBytes(chunk: Buffer, resume: () => void): boolean {
		const ready = this.events === undefined ? chunk : this.events.push(chunk);
		return ready === undefined || this.answer.write(ready, resume);
	}

	private noteBytes(): void {
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

	/** Says what the end of an attempt tells of its server, and watches for requests that end servers. */
	private outcomeOf(
		server: string,
		exit: Exit.Exit<void, BackendFailure>,
		answeredWithError: boolean,
	): ServerOutcome | undefined {
		if (exit._tag === 'Success') {
			return answeredWithError ? 'failed' : 'answered';
		}
		const { crashes } = this.context;
		const [reason] = exit.cause.reasons;
		if (reason?._tag !== 'Fail') {
			return undefined; // The caller left, which says nothing about the server.
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
				if (!this.answer.hasHead) {
					crashes.recordBrokenConnection(server, this.fingerprint());
				}
				return 'failed';
		}
	}

	private mayTryAgain(failure: BackendFailure): boolean {
		const { routing } = this.request;
		const { route } = routing;
		const ran = failure.verdict !== 'not-run';
		if (ran && (route.repeat === 'once' || this.attempts >= route.maximumAttempts)) {
			return false;
		}
		if (this.answer.hasHead && !route.resumable) {
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
		const rest = this.events?.takeBuffered();
		if (rest !== undefined) {
			this.answer.write(rest, () => undefined);
		}
		this.endedVerdict = 'completed';
		this.answer.end();
	}

	private refuse(decision: AdmissionDecision & { readonly kind: 'refuse' }): void {
		if (this.attempts === 0 && this.request.engine !== undefined) {
			this.context.shares.refund(this.accountKey(), this.cost, this.context.clock.now());
		}
		if (this.verdict !== 'not-run') {
			this.sendOwn({ status: BAD_GATEWAY, code: decision.reason, verdict: this.verdict });
			return;
		}
		this.sendOwn({
			status: decision.reason === 'over-share' ? TOO_MANY_REQUESTS : SERVICE_UNAVAILABLE,
			code: decision.reason,
			verdict: 'not-run',
			retryAfterMs: decision.retryAfterMs,
		});
	}

	/**
	 * Answers a request without an answer of a backend server.
	 *
	 * @param code short name of the reason
	 * @param statusAfterSending status when a server may have run the request
	 */
	private sendUnfinished(code: string, statusAfterSending: number): void {
		const notRun = this.verdict === 'not-run';
		this.sendOwn({
			status: notRun ? SERVICE_UNAVAILABLE : statusAfterSending,
			code,
			verdict: this.verdict,
			retryAfterMs: notRun ? REFUSED_RETRY_MS : undefined,
		});
	}

	private sendOwn(answer: LocalResponse): void {
		this.reason = answer.code;
		if (!this.answer.hasHead) {
			this.status = answer.status;
		}
		this.answer.sendLocal(answer);
	}

	private logFailure(option: EngineOption, failure: BackendFailure): void {
		this.context.log.write('attempt-failed', {
			id: this.request.fields.id,
			server: option.server.id,
			kind: failure.kind,
			verdict: failure.verdict,
			attempt: this.attempts,
			headSent: this.answer.hasHead,
			reason: failure.message,
		});
	}

	private finish(exit: Exit.Exit<void>): void {
		const { clock, metrics, log } = this.context;
		const { fields, routing, arrivedAt } = this.request;
		const totalMs = clock.now() - arrivedAt;
		const left = exit._tag === 'Failure' && this.reason === '';
		metrics.countRequest(routing.service, left ? 0 : this.status, left ? 'caller-left' : this.reason, totalMs);
		log.write('request-end', {
			id: fields.id,
			status: this.status,
			reason: left ? 'caller-left' : this.reason,
			verdict: this.verdict,
			attempts: this.attempts,
			totalMs: round(totalMs),
			firstBytesMs: round(this.firstBytesAt === undefined ? undefined : this.firstBytesAt - arrivedAt),
			predictedMs: round(this.predictedMs),
			longestPauseMs: round(this.longestPauseMs),
			bytes: this.answer.bytes,
		});
	}

	private fingerprint(): string {
		const { routing, method, target, body } = this.request;
		return computeFingerprint({
			account: { id: routing.account?.name ?? '' },
			service: { id: routing.service },
			request: { method, path: target, body },
		});
	}

	private accountKey(): number {
		return shortKey(this.request.routing.account?.name ?? '');
	}
}

/**
 * What was last heard of a server may be old, so a first choice is given up for another when the server is worse than
 * that; after some choices the longest wait that the request can take decides alone.
 */
function reservationTerms(
	{ option, limitMs, maximumLoad, maximumRereadTokens }: PlaceDecision,
	declined: number,
): PlacementLimits {
	const withinMs = declined < PARTICULAR_CHOICES ? option.waitMs + WORSE_THAN_HEARD_MS : Infinity;
	return { limitMs: Math.min(limitMs, withinMs), maximumLoad, maximumRereadTokens };
}

/** The keeper of the preferred server's queue may have given a place at another one that it keeps. */
function choiceOf(
	decision: PlaceDecision,
	result: Extract<ReservationResult, { readonly kind: 'kept-here' | 'reserved' }>,
	options: readonly EngineOption[],
): Choice {
	if (result.kind === 'kept-here') {
		return { decision, reservation: undefined };
	}
	const { reservation } = result;
	const option = options.find(({ server }) => server.id === reservation.server) ?? decision.option;
	return { decision: { ...decision, option }, reservation };
}

function withdrawn(server: string): BackendFailure {
	return { kind: 'withdrawn', verdict: 'not-run', message: `backend server ${server} wants no requests` };
}

function notResumed(status: number): BackendFailure {
	return { kind: 'broken', verdict: 'may-have-run', message: `answered the resumed stream with status ${status}` };
}

function round(value: number | undefined): number | undefined {
	return value === undefined ? undefined : Math.round(value);
}
