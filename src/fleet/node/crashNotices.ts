import { Emitter, type Event } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { IClock } from '../../base/common/clock.js';
import { formatShortKeys } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import { SUSPECT_KINDS, type SuspectKind, type Suspects } from '../../backends/common/suspectRegistry.js';
import type { FleetOutbox } from '../common/fleetOutbox.js';
import { decodeEvidence, type RepeatedSuspects } from '../common/suspectMessages.js';
import type { RouterState } from '../common/generated/masticloom/fleet/v1/fleet.js';

/**
 * Mean time between the notices of two routers that clear the same suspect. Most routers hear of it before their own
 * notice is due, and send none.
 */
const CLEAR_INTERVAL_MS = 4;

/** Maximum number of quarantined suspects of one kind in a heartbeat. */
const QUARANTINED_PER_HEARTBEAT = 30;

/** Number of suspects of one kind, those with the most crashes, whose evidence each heartbeat repeats. */
const MAIN_EVIDENCE_PER_HEARTBEAT = 8;

/** Maximum number of further suspects of one kind in a heartbeat, which take turns. */
const OTHER_EVIDENCE_PER_HEARTBEAT = 8;

/** Dependencies of the exchange of crash notices. */
export interface CrashNoticeContext {
	readonly suspects: Suspects;
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

	/** Number of quarantined suspects of each kind that heartbeats have repeated; begins again after the last one. */
	private readonly repeated: Record<SuspectKind, number> = { part: 0, request: 0 };
	/** The same for evidence. */
	private readonly repeatedEvidence: Record<SuspectKind, number> = { part: 0, request: 0 };

	private readonly crashEmitter = this.register(Emitter.create<number>());

	/** Fires with the key of a server that another router has found to have ended. */
	public readonly onDidHearCrash: Event<number> = this.crashEmitter.event;

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
			this.crashEmitter.fire(engine);
		}
		this.applyClears('part', datagram.clearedParts, now);
		this.applyClears('request', datagram.clearedRequests, now);
		this.applyQuarantines('part', datagram.quarantinedParts, datagram.instance, now);
		this.applyQuarantines('request', datagram.quarantinedRequests, datagram.instance, now);
		datagram.partEvidence.forEach((evidence) => suspects.part.applyEvidence(decodeEvidence(evidence), now));
		datagram.requestEvidence.forEach((evidence) => suspects.request.applyEvidence(decodeEvidence(evidence), now));
	}

	/**
	 * Returns what is known of suspects, for a heartbeat. A router that has missed a notice, since it was frozen or cut off or has
	 * just started, learns of it from any other one: of crashes, of quarantines and of what has been cleared. If there is more
	 * than fits into a heartbeat, each one repeats the next part.
	 *
	 * @returns suspects by kind
	 */
	public nextRepeated(): RepeatedSuspects {
		const now = this.context.clock.now();
		const next = (kind: SuspectKind): RepeatedSuspects[SuspectKind] => {
			const suspects = this.context.suspects[kind];
			const evidence = suspects.listEvidence(now);
			return {
				quarantined: takeTurns(suspects.listQuarantined(now), kind, this.repeated, QUARANTINED_PER_HEARTBEAT),
				evidence: [
					...evidence.slice(0, MAIN_EVIDENCE_PER_HEARTBEAT),
					...takeTurns(
						evidence.slice(MAIN_EVIDENCE_PER_HEARTBEAT),
						kind,
						this.repeatedEvidence,
						OTHER_EVIDENCE_PER_HEARTBEAT,
					),
				],
			};
		};
		return { part: next('part'), request: next('request') };
	}

	private applyClears(kind: SuspectKind, keys: readonly number[], now: number): void {
		keys.forEach((key) => this.cleared[kind].keys.delete(key));
		this.context.suspects[kind].clear(keys, now);
	}

	private applyQuarantines(
		kind: SuspectKind,
		quarantined: RouterState['quarantinedParts'],
		peer: string,
		now: number,
	): void {
		const { suspects, log } = this.context;
		for (const status of quarantined) {
			if (suspects[kind].applyQuarantine(status, now)) {
				log.write(`${kind}-quarantine-heard`, { peer, ...status, key: formatShortKeys([status.key]) });
			}
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

/** Returns the next items of a list, which begins again after its last one. */
function takeTurns<T>(
	items: readonly T[],
	kind: SuspectKind,
	positions: Record<SuspectKind, number>,
	count: number,
): readonly T[] {
	const start = positions[kind] < items.length ? positions[kind] : 0;
	const taken = items.slice(start, start + count);
	positions[kind] = start + taken.length;
	return taken;
}
