import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { IClock } from '../../base/common/clock.js';
import { formatShortKeys } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { PromptSuspects } from '../../backends/common/promptSuspects.js';
import type { FleetOutbox } from '../common/fleetOutbox.js';
import type { RouterState } from '../common/generated/masticloom/fleet/v1/fleet.js';

/**
 * Mean time between the notices of two routers that clear the same part. Most routers hear of it before their own notice
 * is due, and send none.
 */
const CLEAR_INTERVAL_MS = 4;

/** Dependencies of the exchange of crash notices. */
export interface CrashNoticeContext {
	readonly suspects: CrashSuspects;
	readonly promptSuspects: PromptSuspects;
	/** Returns the number of routers in the fleet. */
	readonly countRouters: () => number;
	/** Adds notices to the next datagram to all routers. */
	readonly broadcast: (add: (outbox: FleetOutbox) => void) => void;
	readonly clock: IClock;
	readonly log: IDecisionLog;
}

/** Exchanges the evidence of requests and prompt parts that crash servers, so that each router judges by all of it. */
export class CrashNotices extends Disposable {
	/** Parts that this router has cleared, and that no other router has reported as cleared since. */
	private readonly cleared = new Set<number>();
	private clearTimer: NodeJS.Timeout | undefined;

	private constructor(private readonly context: CrashNoticeContext) {
		super();
		const { suspects, promptSuspects, broadcast, log } = context;
		this.register(
			suspects.onDidChangeSuspect(({ fingerprint, deaths, quarantineMs }) => {
				const notice = { fingerprint: Buffer.from(fingerprint, 'hex'), deaths, quarantineMs: Math.round(quarantineMs) };
				log.write('crash-suspect', { fingerprint, deaths, quarantineMs: notice.quarantineMs });
				broadcast((outbox) => outbox.addCrash(notice));
			}),
		);
		this.register(
			promptSuspects.onDidDetectCrash((crash) => {
				log.write('parts-suspected', { server: crash.server, parts: formatShortKeys(crash.parts) });
				broadcast((outbox) => outbox.addPromptCrash(crash));
			}),
		);
		this.register(
			promptSuspects.onDidQuarantine((state) => {
				const { part, crashes, quarantineMs } = state;
				log.write('part-quarantined', { part: formatShortKeys([part]), crashes, quarantineMs });
				broadcast((outbox) => outbox.addQuarantinedPart(state));
			}),
		);
		this.register(promptSuspects.onDidClear((parts) => this.scheduleClear(parts)));
		this.register(toDisposable(() => clearTimeout(this.clearTimer)));
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
		const { suspects, promptSuspects, log } = this.context;
		const peer = datagram.instance;
		for (const { fingerprint, deaths, quarantineMs } of datagram.crashes) {
			const hexFingerprint = Buffer.from(fingerprint).toString('hex');
			log.write('crash-suspect-heard', { peer, fingerprint: hexFingerprint, deaths, quarantineMs });
			suspects.applyPeerState(peer, { fingerprint: hexFingerprint, deaths, quarantineMs, claimMs: 0 });
		}
		for (const { engine, parts } of datagram.promptCrashes) {
			promptSuspects.applyCrash({ server: engine, parts }, now);
		}
		if (datagram.clearedParts.length > 0) {
			datagram.clearedParts.forEach((part) => this.cleared.delete(part));
			promptSuspects.clear(datagram.clearedParts);
		}
		for (const state of datagram.quarantinedParts) {
			log.write('part-quarantine-heard', { peer, ...state, part: formatShortKeys([state.part]) });
			promptSuspects.applyQuarantine(state, now);
		}
	}

	/**
	 * Adds the quarantined parts to a datagram for a router that has just started.
	 *
	 * @param outbox content of the datagram
	 * @returns whether there are any
	 */
	public addAllTo(outbox: FleetOutbox): boolean {
		const quarantined = this.context.promptSuspects
			.list(this.context.clock.now())
			.filter(({ quarantineMs }) => quarantineMs > 0);
		quarantined.forEach((state) => outbox.addQuarantinedPart(state));
		return quarantined.length > 0;
	}

	private scheduleClear(parts: readonly number[]): void {
		parts.forEach((part) => this.cleared.add(part));
		const { countRouters, broadcast, log } = this.context;
		this.clearTimer ??= setTimeout(
			() => {
				this.clearTimer = undefined;
				const due = [...this.cleared];
				this.cleared.clear();
				if (due.length > 0) {
					log.write('parts-cleared', { parts: formatShortKeys(due) });
					broadcast((outbox) => outbox.addClearedParts(due));
				}
			},
			Math.random() * CLEAR_INTERVAL_MS * countRouters(),
		);
	}
}
