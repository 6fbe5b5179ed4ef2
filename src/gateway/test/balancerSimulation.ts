import { heaviest, rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { LAG_SAMPLE_INTERVAL_MS, type LoadDecision } from '../common/loadShedder.js';

/** What a router decides about requests that arrive. */
export interface IRouterLoadPolicy {
	/** Called at each timer, with the milliseconds by which it was late, and whether its neighbours are not ready. */
	recordLag(lateMs: number, now: number, neighbours: readonly boolean[]): void;
	/** Decides about a request; one that was handed over is not handed over again. */
	decide(now: number, isHandedOver: boolean): LoadDecision;
	/** Answers the balancer. */
	isReady(): boolean;
	/** Whether the connection of a request that is refused now is closed. */
	closesRefusedConnections(): boolean;
	/** Milliseconds after which the caller of a request that is refused now may return. */
	retryAfterMs(now: number): number;
}

/** A caller whose requests all come from one account. */
export interface Caller {
	readonly name: string;
	/** Requests a second at a time in milliseconds. */
	readonly perSecond: (now: number) => number;
}

/** A request, and when it was taken by some router. */
export interface SimulatedRequest {
	readonly caller: string;
	readonly sentAt: number;
	takenAt: number | undefined;
}

interface Work {
	/** Returns the milliseconds that it takes. */
	readonly start: (now: number) => number;
	readonly done: (now: number) => void;
}

/** Processor time of a router with a third of a core, in milliseconds: 2.3, 1.3 and 0.6 ms of work, and 0.3 to accept. */
const WORK_MS: Readonly<Record<LoadDecision, number>> = { take: 7, 'hand-over': 4, refuse: 1.8 };
const ACCEPT_MS = 0.8;

/** Time for which a stream holds its connection. */
const STREAM_MS = 800;

/** The balancer asks each router this often, and takes it out after this many refusals. */
const PROBE_INTERVAL_MS = 1_000;
const MISSES = 2;

/** Below this part of the routers in rotation, the balancer uses all. */
const LEAST_ROTATION_PART = 0.5;

class Router {
	public misses = 0;
	private readonly queue: Work[] = [];
	private isBusy = false;

	public constructor(
		public readonly name: string,
		public readonly decisions: IRouterLoadPolicy,
		private readonly schedule: (at: number, run: (now: number) => void) => void,
	) {}

	public add(work: Work, now: number): void {
		this.queue.push(work);
		if (!this.isBusy) {
			this.next(now);
		}
	}

	private next(now: number): void {
		const work = this.queue.shift();
		this.isBusy = work !== undefined;
		if (work !== undefined) {
			this.schedule(now + work.start(now), (at) => {
				work.done(at);
				this.next(at);
			});
		}
	}
}

/**
 * Replays callers of one failure domain in virtual time. The balancer chooses a router by a hash of the caller, and an
 * open connection stays with its router. A caller whose request was refused returns once, on a new connection.
 *
 * @param callers that send requests
 * @param routerCount routers of the failure domain
 * @param createDecisions of one router
 * @param random numbers from 0 to 1, by which the router is chosen that a request is handed over to
 * @param endMs when the replay ends, in milliseconds
 * @returns the requests, in the order of their first attempts
 */
export function simulateBalancedRouters(
	callers: readonly Caller[],
	routerCount: number,
	createDecisions: () => IRouterLoadPolicy,
	random: () => number,
	endMs: number,
): readonly SimulatedRequest[] {
	const events: { readonly at: number; readonly run: (now: number) => void }[] = [];
	const schedule = (at: number, run: (now: number) => void): void => {
		let index = events.length;
		while (index > 0 && (events[index - 1]?.at ?? 0) <= at) {
			index--;
		}
		events.splice(index, 0, { at, run });
	};
	const names = Array.from({ length: routerCount }, (_, index) => `router-${index}`);
	const routers = new Map(names.map((name) => [name, new Router(name, createDecisions(), schedule)]));
	const idle = new Map<string, Router[]>(callers.map(({ name }) => [name, []]));
	const requests: SimulatedRequest[] = [];

	const connect = (caller: string, now: number): Router => {
		const rotation = names.filter((name) => (routers.get(name)?.misses ?? 0) < MISSES);
		const used = rotation.length < names.length * LEAST_ROTATION_PART ? names : rotation;
		const chosen = heaviest(used, (name) => rendezvousWeight(shortKey(caller), shortKey(name))) ?? '';
		const router = routers.get(chosen);
		if (router === undefined) {
			throw new Error('no routers');
		}
		router.add({ start: () => ACCEPT_MS, done: () => undefined }, now);
		return router;
	};
	const release = (request: SimulatedRequest, router: Router): void => {
		idle.get(request.caller)?.push(router);
	};
	const run = (
		router: Router,
		isHandedOver: boolean,
		now: number,
		ended: (decision: LoadDecision, at: number) => void,
	): void => {
		let decision: LoadDecision = 'refuse';
		const start = (at: number): number => WORK_MS[(decision = router.decisions.decide(at, isHandedOver))];
		router.add({ start, done: (at) => ended(decision, at) }, now);
	};
	const send = (router: Router, request: SimulatedRequest, isReturn: boolean, now: number): void => {
		const refused = (at: number): void => {
			const { decisions } = router;
			if (!decisions.closesRefusedConnections()) {
				release(request, router);
			}
			if (!isReturn) {
				schedule(at + decisions.retryAfterMs(at), (later) =>
					send(connect(request.caller, later), request, true, later),
				);
			}
		};
		const taken = (at: number): void => {
			request.takenAt = at;
			schedule(at + STREAM_MS, () => release(request, router));
		};
		run(router, false, now, (decision, at) => {
			if (decision === 'hand-over') {
				const others = [...routers.values()].filter((other) => other !== router);
				const other = others[Math.floor(random() * others.length)] ?? router;
				run(other, true, at, (second, later) => (second === 'take' ? taken(later) : refused(later)));
			} else {
				(decision === 'take' ? taken : refused)(at);
			}
		});
	};

	for (const { name, perSecond } of callers) {
		const attempt = (now: number): void => {
			const request: SimulatedRequest = { caller: name, sentAt: now, takenAt: undefined };
			requests.push(request);
			send(idle.get(name)?.pop() ?? connect(name, now), request, false, now);
			schedule(now + 1_000 / perSecond(now), attempt);
		};
		schedule(1_000 / perSecond(0), attempt);
	}
	for (const router of routers.values()) {
		const tick = (due: number): void => {
			const start = (now: number): number => {
				const others = [...routers.values()].filter((other) => other !== router);
				const areRelieved = others.map(({ decisions }) => !decisions.isReady());
				router.decisions.recordLag(now - due, now, areRelieved);
				return 0;
			};
			router.add({ start, done: (now) => schedule(now + LAG_SAMPLE_INTERVAL_MS, tick) }, due);
		};
		schedule(LAG_SAMPLE_INTERVAL_MS, tick);
		const probe = (now: number): void => {
			router.misses = router.decisions.isReady() ? 0 : router.misses + 1;
			schedule(now + PROBE_INTERVAL_MS, probe);
		};
		schedule(PROBE_INTERVAL_MS * random(), probe);
	}
	for (let event = events.pop(); event !== undefined && event.at < endMs; event = events.pop()) {
		event.run(event.at);
	}
	return requests;
}
