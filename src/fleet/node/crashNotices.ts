import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { IClock } from '../../base/common/clock.js';
import { formatShortKeys } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { SuspectRegistry } from '../../backends/common/suspectRegistry.js';
import { type FleetOutbox, SUSPECT_KINDS, type SuspectKind } from '../common/fleetOutbox.js';
import type { RouterState } from '../common/generated/masticloom/fleet/v1/fleet.js';

/**
 * Mean time between the notices of two routers that clear the same suspect. Most routers hear of it before their own
 * notice is due, and send none.
 */
const CLEAR_INTERVAL_MS = 4;

/** Dependencies of the exchange of crash notices. */
export interface CrashNoticeContext {
	readonly suspects: Readonly<Record<SuspectKind, SuspectRegistry>>;
	/** Returns the number of routers in the fleet. */
	readonly countRouters: () => number;
	/** Adds notices to the next datagram to all routers. */
	readonly broadcast: (add: (outbox: FleetOutbox) => void) => void;
	readonly clock: IClock;
	readonly log: IDecisionLog;
}

/** Suspects of one kind that this router has cleared, and that no other router has reported as cleared since. */
interface PendingClears {
	readonly keys: Set<number>;
	timer: NodeJS.Timeout | undefined;
}

/** Exchanges the evidence of requests and prompt parts that crash servers, so that each router judges by all of it. */
export class CrashNotices extends Disposable {
	private readonly cleared: Readonly<Record<SuspectKind, PendingClears>> = {
		part: { keys: new Set(), timer: undefined },
		request: { keys: new Set(), timer: undefined },
	};

	private constructor(private readonly context: CrashNoticeContext) {
		super();
		const { suspects, broadcast, log } = context;
		for (const kind of SUSPECT_KINDS) {
			this.register(
				suspects[kind].onDidDetectCrash((crash) => {
					log.write(`${kind}s-suspected`, { server: crash.server, [`${kind}s`]: formatShortKeys(crash.suspects) });
					broadcast((outbox) => outbox.addCrash(kind, crash));
				}),
			);
			this.register(
				suspects[kind].onDidQuarantine((status) => {
					const { key, crashes, quarantineMs } = status;
					log.write(`${kind}-quarantined`, { [kind]: formatShortKeys([key]), crashes, quarantineMs });
					broadcast((outbox) => outbox.addQuarantine(kind, status));
				}),
			);
			this.register(suspects[kind].onDidClear((keys) => this.scheduleClear(kind, keys)));
			this.register(toDisposable(() => clearTimeout(this.cleared[kind].timer)));
		}
	}

	/**
	 * @param context dependencies
	 * @returns an exchange that runs until disposed
	 */
	public static create(context: CrashNoticeContext): CrashNotices {
		return new CrashNotices(context);
	}

	/**
	 * Applies the notices of a peer.
	 *
	 * @param datagram received from the peer
	 * @param now monotonic milliseconds
	 */
	public apply(datagram: RouterState, now: number): void {
		const { suspects } = this.context;
		for (const { engine, parts, requests } of datagram.serverCrashes) {
			suspects.part.applyCrash({ server: engine, suspects: parts }, now);
			suspects.request.applyCrash({ server: engine, suspects: requests }, now);
		}
		this.applyClears('part', datagram.clearedParts);
		this.applyClears('request', datagram.clearedRequests);
		this.applyQuarantines('part', datagram.quarantinedParts, datagram.instance, now);
		this.applyQuarantines('request', datagram.quarantinedRequests, datagram.instance, now);
	}

	/**
	 * Adds what is quarantined to a datagram for a router that has just started.
	 *
	 * @param outbox content of the datagram
	 * @returns whether there is anything
	 */
	public addAllTo(outbox: FleetOutbox): boolean {
		const quarantined = this.context.suspects.part
			.list(this.context.clock.now())
			.filter(({ quarantineMs }) => quarantineMs > 0);
		quarantined.forEach((status) => outbox.addQuarantine('part', status));
		return quarantined.length > 0;
	}

	private applyClears(kind: SuspectKind, keys: readonly number[]): void {
		keys.forEach((key) => this.cleared[kind].keys.delete(key));
		this.context.suspects[kind].clear(keys);
	}

	private applyQuarantines(
		kind: SuspectKind,
		quarantined: RouterState['quarantinedParts'],
		peer: string,
		now: number,
	): void {
		const { suspects, log } = this.context;
		for (const status of quarantined) {
			log.write(`${kind}-quarantine-heard`, { peer, ...status, key: formatShortKeys([status.key]) });
			suspects[kind].applyQuarantine(status, now);
		}
	}

	private scheduleClear(kind: SuspectKind, keys: readonly number[]): void {
		const pending = this.cleared[kind];
		keys.forEach((key) => pending.keys.add(key));
		const { countRouters, broadcast, log } = this.context;
		pending.timer ??= setTimeout(
			() => {
				pending.timer = undefined;
				const due = [...pending.keys];
				pending.keys.clear();
				if (due.length > 0) {
					log.write(`${kind}s-cleared`, { [`${kind}s`]: formatShortKeys(due) });
					broadcast((outbox) => outbox.addCleared(kind, due));
				}
			},
			Math.random() * CLEAR_INTERVAL_MS * countRouters(),
		);
	}
}
