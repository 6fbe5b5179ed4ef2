import { rendezvousWeight, shortKey } from '../../base/common/shortKey.js';
import { LATENESS_INTERVAL_MS } from '../common/overloadGuard.js';

/** Load of a router since its last timer. */
export interface MeasuredLoad {
	/** Milliseconds by which the timer was late. */
	readonly lateMs: number;
	/** Part of the time for which the processor worked, from 0 to 1. */
	readonly utilization: number;
}

/** What a router does when it gets more requests than its processor can handle. */
export interface ILoadDecisions {
	/** Called at each timer, with the number of its neighbours that are out of the rotation. */
	record(load: MeasuredLoad, now: number, relievedNeighbours: number): void;
	/** Whether a request is taken. */
	takes(now: number): boolean;
	/** Answer to the balancer. */
	isReady(): boolean;
	/** Whether the connection of a refused request is closed. */
	closesRefused(): boolean;
	/** Milliseconds after which the caller of a refused request may return. */
	returnMs(now: number): number;
}

/** A caller whose requests all come from one account. */
export interface Caller {
	readonly name: string;
	/** Requests a second at a time in milliseconds. */
	readonly perSecond: (now: number) => number;
}

/** A first attempt, and when the request was taken. */
export interface ReplayedRequest {
	readonly caller: string;
	readonly sentAt: number;
	takenAt: number | undefined;
}

interface Connection {
	readonly router: Router;
	readonly caller: string;
}

interface Work {
	/** Returns the milliseconds that it takes. */
	readonly start: (now: number) => number;
	readonly done: (now: number) => void;
}

/** Time that a processor of a third of a core needs, in milliseconds: 4 ms of work and 0.8 ms. */
const TAKEN_MS = 12;
const REFUSED_MS = 2.5;
const ACCEPT_MS = 1;

/** Time for which a stream holds its connection. */
const STREAM_MS = 800;

/** The balancer asks each router this often, and takes it out after this many refusals. */
const PROBE_INTERVAL_MS = 1_000;
const MISSES = 2;

/** Below this part of the routers in rotation, the balancer uses all. */
const LEAST_ROTATION_PART = 0.5;

class Router {
	public readonly key: number;
	public inRotation = true;
	public misses = 0;
	private readonly queue: Work[] = [];
	private isBusy = false;
	private busyMs = 0;

	public constructor(
		name: string,
		public readonly decisions: ILoadDecisions,
		private readonly schedule: (at: number, run: (now: number) => void) => void,
	) {
		this.key = shortKey(name);
	}

	public add(work: Work, now: number): void {
		this.queue.push(work);
		if (!this.isBusy) {
			this.next(now);
		}
	}

	/** @returns part of the time since the last call for which the processor worked */
	public takeUtilization(elapsedMs: number): number {
		const utilization = Math.min(1, this.busyMs / elapsedMs);
		this.busyMs = 0;
		return utilization;
	}

	private next(now: number): void {
		const work = this.queue.shift();
		this.isBusy = work !== undefined;
		if (work !== undefined) {
			const costMs = work.start(now);
			this.busyMs += costMs;
			this.schedule(now + costMs, (at) => {
				work.done(at);
				this.next(at);
			});
		}
	}
}

/**
 * Replays callers of one failure domain in virtual time. The balancer chooses a router by a hash of the caller, an open
 * connection stays with its router, and a caller that was refused returns once, on a new connection.
 *
 * @param callers that send requests
 * @param routerCount routers of the failure domain
 * @param createDecisions of one router
 * @param endMs when the replay ends, in milliseconds
 * @returns the requests, in the order of their first attempts
 */
export function replayBalancedRouters(
	callers: readonly Caller[],
	routerCount: number,
	createDecisions: () => ILoadDecisions,
	endMs: number,
): readonly ReplayedRequest[] {
	const events: { readonly at: number; readonly run: (now: number) => void }[] = [];
	const schedule = (at: number, run: (now: number) => void): void => {
		let index = events.length;
		while (index > 0 && (events[index - 1]?.at ?? 0) <= at) {
			index--;
		}
		events.splice(index, 0, { at, run });
	};
	const routers = Array.from(
		{ length: routerCount },
		(_, index) => new Router(`router-${index}`, createDecisions(), schedule),
	);
	const idle = new Map<string, Connection[]>(callers.map(({ name }) => [name, []]));
	const requests: ReplayedRequest[] = [];

	const connect = (caller: string, now: number): Connection => {
		const rotation = routers.filter(({ inRotation }) => inRotation);
		const used = rotation.length < routers.length * LEAST_ROTATION_PART ? routers : rotation;
		const weight = ({ key }: Router): number => rendezvousWeight(shortKey(caller), key);
		const router = used.reduce((best, other) => (weight(other) > weight(best) ? other : best));
		router.add({ start: () => ACCEPT_MS, done: () => undefined }, now);
		return { router, caller };
	};
	const send = (connection: Connection, request: ReplayedRequest, isReturn: boolean, now: number): void => {
		const { decisions } = connection.router;
		let isTaken = false;
		const release = (): void => {
			idle.get(connection.caller)?.push(connection);
		};
		const start = (at: number): number => {
			isTaken = decisions.takes(at);
			return isTaken ? TAKEN_MS : REFUSED_MS;
		};
		const done = (at: number): void => {
			if (isTaken) {
				request.takenAt = at;
				schedule(at + STREAM_MS, release);
				return;
			}
			if (!decisions.closesRefused()) {
				release();
			}
			if (!isReturn) {
				schedule(at + decisions.returnMs(at), (later) => send(connect(connection.caller, later), request, true, later));
			}
		};
		connection.router.add({ start, done }, now);
	};

	for (const { name, perSecond } of callers) {
		const attempt = (now: number): void => {
			const request: ReplayedRequest = { caller: name, sentAt: now, takenAt: undefined };
			requests.push(request);
			send(idle.get(name)?.pop() ?? connect(name, now), request, false, now);
			schedule(now + 1_000 / perSecond(now), attempt);
		};
		schedule(1_000 / perSecond(0), attempt);
	}
	routers.forEach((router, index) => {
		let tickedAt = 0;
		const tick = (due: number): void => {
			const start = (now: number): number => {
				const relieved = routers.filter((other) => other !== router && !other.decisions.isReady()).length;
				const load = { lateMs: now - due, utilization: router.takeUtilization(now - tickedAt) };
				tickedAt = now;
				router.decisions.record(load, now, relieved);
				return 0;
			};
			router.add({ start, done: (now) => schedule(now + LATENESS_INTERVAL_MS, tick) }, due);
		};
		schedule(LATENESS_INTERVAL_MS, tick);
		const probe = (now: number): void => {
			router.misses = router.decisions.isReady() ? 0 : router.misses + 1;
			router.inRotation = router.misses < MISSES;
			schedule(now + PROBE_INTERVAL_MS, probe);
		};
		schedule((PROBE_INTERVAL_MS * index) / routerCount, probe);
	});
	for (let event = events.pop(); event !== undefined && event.at < endMs; event = events.pop()) {
		event.run(event.at);
	}
	return requests;
}
