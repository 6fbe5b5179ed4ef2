import { highestWeightMember, rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { LAG_SAMPLE_INTERVAL_MS, type LoadDecision } from '../common/loadShedder.js';

/** Load decisions of a simulated router. */
export interface IRouterLoadPolicy {
	/** Called when a timer fires `lagMs` late; `neighbours` states for each neighbour whether it is out of rotation. */
	recordLag(lagMs: number, now: number, neighbours: readonly boolean[]): void;
	/** Decides what happens to a request of a caller; one that was handed over is not handed over again. */
	decide(caller: string, now: number, isHandedOver: boolean): LoadDecision;
	/** Result of the load balancer's health check. */
	isReady(): boolean;
	/** Whether the connection of a refused request is closed. */
	closesRefusedConnections(): boolean;
	/** Milliseconds after which the caller of a refused request may retry. */
	retryAfterMs(now: number): number;
}

/** A caller, all of whose requests belong to one account. */
export interface Caller {
	readonly name: string;
	/** Requests per second at a time in milliseconds. */
	readonly perSecond: (now: number) => number;
}

/** A request, and when a router has accepted it; times in milliseconds. */
export interface SimulatedRequest {
	readonly caller: string;
	readonly sentAt: number;
	acceptedAt: number | undefined;
}

interface Work {
	/** Starts the work and returns its duration in milliseconds. */
	readonly start: (now: number) => number;
	readonly done: (now: number) => void;
}

/**
 * Duration of each kind of work in milliseconds on a router with a third of a core. The CPU times are 2.3, 1.3 and 0.6 ms,
 * and 0.3 ms to accept a connection.
 */
const WORK_MS: Readonly<Record<LoadDecision, number>> = { take: 7, 'hand-over': 4, refuse: 1.8 };
const ACCEPT_MS = 0.8;

/** Time for which a stream occupies its connection. */
const STREAM_MS = 800;

/** Interval of health checks, and number of consecutive failures after which a router is out of rotation. */
const HEALTH_CHECK_INTERVAL_MS = 1_000;
const FAILED_CHECKS_LIMIT = 2;

/** Minimum fraction of routers in rotation; below it, the load balancer uses all routers. */
const MINIMUM_ROTATION_FRACTION = 0.5;

class Router {
	public failedChecks = 0;
	private readonly queue: Work[] = [];
	private isBusy = false;

	public constructor(
		public readonly name: string,
		public readonly loadPolicy: IRouterLoadPolicy,
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
 * Simulates the callers and routers of one failure domain in virtual time. The load balancer chooses a router by a hash
 * of the caller, and an open connection stays with its router. A refused request is retried once, on a new connection.
 *
 * @param callers that send requests
 * @param routerCount number of routers in the failure domain
 * @param createLoadPolicy creates the load decisions of one router
 * @param random returns numbers from 0 to 1, which select the target of a handover
 * @param endMs end of the simulation in milliseconds
 * @returns the requests in the order of their first attempts
 */
export function simulateBalancedRouters(
	callers: readonly Caller[],
	routerCount: number,
	createLoadPolicy: () => IRouterLoadPolicy,
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
	const routerNames = Array.from({ length: routerCount }, (_, index) => `router-${index}`);
	const routers = new Map(routerNames.map((name) => [name, new Router(name, createLoadPolicy(), schedule)]));
	const idle = new Map<string, Router[]>(callers.map(({ name }) => [name, []]));
	const requests: SimulatedRequest[] = [];

	const connect = (caller: string, now: number): Router => {
		const rotation = routerNames.filter((name) => (routers.get(name)?.failedChecks ?? 0) < FAILED_CHECKS_LIMIT);
		const used = rotation.length < routerNames.length * MINIMUM_ROTATION_FRACTION ? routerNames : rotation;
		const chosen = highestWeightMember(used, (name) => rendezvousWeight(shortKey(caller), shortKey(name))) ?? '';
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
		caller: string,
		isHandedOver: boolean,
		now: number,
		ended: (decision: LoadDecision, at: number) => void,
	): void => {
		let decision: LoadDecision = 'refuse';
		const start = (at: number): number => WORK_MS[(decision = router.loadPolicy.decide(caller, at, isHandedOver))];
		router.add({ start, done: (at) => ended(decision, at) }, now);
	};
	const send = (router: Router, request: SimulatedRequest, isRetry: boolean, now: number): void => {
		const refuseRequest = (at: number): void => {
			const { loadPolicy } = router;
			if (!loadPolicy.closesRefusedConnections()) {
				release(request, router);
			}
			if (!isRetry) {
				schedule(at + loadPolicy.retryAfterMs(at), (later) =>
					send(connect(request.caller, later), request, true, later),
				);
			}
		};
		const acceptRequest = (at: number): void => {
			request.acceptedAt = at;
			schedule(at + STREAM_MS, () => release(request, router));
		};
		run(router, request.caller, false, now, (decision, at) => {
			if (decision === 'hand-over') {
				const others = [...routers.values()].filter((other) => other !== router);
				const other = others[Math.floor(random() * others.length)] ?? router;
				run(other, request.caller, true, at, (second, later) =>
					second === 'take' ? acceptRequest(later) : refuseRequest(later),
				);
			} else {
				(decision === 'take' ? acceptRequest : refuseRequest)(at);
			}
		});
	};

	for (const { name, perSecond } of callers) {
		const attempt = (now: number): void => {
			const request: SimulatedRequest = { caller: name, sentAt: now, acceptedAt: undefined };
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
				const areOutOfRotation = others.map(({ loadPolicy }) => !loadPolicy.isReady());
				router.loadPolicy.recordLag(now - due, now, areOutOfRotation);
				return 0;
			};
			router.add({ start, done: (now) => schedule(now + LAG_SAMPLE_INTERVAL_MS, tick) }, due);
		};
		schedule(LAG_SAMPLE_INTERVAL_MS, tick);
		const checkHealth = (now: number): void => {
			router.failedChecks = router.loadPolicy.isReady() ? 0 : router.failedChecks + 1;
			schedule(now + HEALTH_CHECK_INTERVAL_MS, checkHealth);
		};
		schedule(HEALTH_CHECK_INTERVAL_MS * random(), checkHealth);
	}
	for (let event = events.pop(); event !== undefined && event.at < endMs; event = events.pop()) {
		event.run(event.at);
	}
	return requests;
}
