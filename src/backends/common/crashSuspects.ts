import type { IClock } from '../../base/common/clock.js';
import { type Event, Emitter } from '../../base/common/event.js';

/** Number of backend server crashes after which a fingerprint is quarantined. */
const QUARANTINE_CRASHES = 2;

/** Duration of the first quarantine; each further crash doubles it, up to the maximum. */
const INITIAL_QUARANTINE_MS = 600_000;
const MAXIMUM_QUARANTINE_MS = 24 * 3_600_000;

/** A suspect that was not seen for this long is removed. */
const SUSPECT_RETENTION_MS = 3_600_000;

// Bounds the memory used when an account sends many different requests to a crashing server.
const MAXIMUM_SUSPECTS = 10_000;

/** Maximum duration of a router's claim to be the only one that runs a suspect. */
const MAXIMUM_CLAIM_MS = 600_000;

/** Wait for concurrent claims of other routers; the claim of the lowest instance name takes precedence. */
const CLAIM_SETTLE_MS = 50;

/** State of the fingerprint of a request that was in progress when a backend server crashed. */
export interface SuspectState {
	readonly fingerprint: string;
	/** Number of backend server crashes with the fingerprint in progress; 0 when it was cleared. */
	readonly deaths: number;
	/** Remaining quarantine in milliseconds. */
	readonly quarantineMs: number;
	/** Milliseconds for which the reporting router claims the exclusive right to run it. */
	readonly claimMs: number;
}

interface Suspect {
	deaths: number;
	quarantinedUntil: number;
	lastSeenAt: number;
	/** When this router announced its claim to run the request. */
	announcedAt: number | undefined;
	/** Whether this router is running a copy of the request. */
	running: boolean;
	/** Claim of another router. */
	peerClaim: { readonly instance: string; readonly until: number } | undefined;
}

/** Fingerprints of requests that may crash backend servers, as observed by this router and its peers. */
export class CrashSuspects {
	private readonly suspects = new Map<string, Suspect>();
	private readonly reservedServers = new Set<string>();
	private readonly changeEmitter = Emitter.create<SuspectState>();

	/** Fires when this router changed the state of a suspect, which must be sent to its peers. */
	public readonly onDidChangeSuspect: Event<SuspectState> = this.changeEmitter.event;

	private constructor(
		private readonly instance: string,
		private readonly clock: IClock,
	) {}

	/**
	 * @param instance name of this router
	 * @param clock measures quarantine
	 * @returns a registry without suspects
	 */
	public static create(instance: string, clock: IClock): CrashSuspects {
		return new CrashSuspects(instance, clock);
	}

	/** Whether there are any suspects. While there are none, fingerprints need not be computed. */
	public get hasSuspects(): boolean {
		return this.suspects.size > 0;
	}

	/**
	 * @param fingerprint fingerprint of a request
	 * @returns milliseconds for which the request must be refused; 0 when it may run
	 */
	public remainingQuarantineMs(fingerprint: string): number {
		return Math.max(0, (this.find(fingerprint)?.quarantinedUntil ?? 0) - this.clock.now());
	}

	/**
	 * Claims the exclusive right to run a suspect. Only one copy of it runs at a time on all routers, so that it cannot
	 * crash a second backend server before the first crash is known.
	 *
	 * @param fingerprint fingerprint of a request that is ready to run
	 * @returns `clear` when it is not a suspect, `claimed` when it may run and {@link releaseClaim} must be called
	 * afterwards, `wait` when the call must be repeated after a short delay, `quarantined` when it must not run
	 */
	public tryClaim(fingerprint: string): 'clear' | 'claimed' | 'wait' | 'quarantined' {
		const suspect = this.find(fingerprint);
		if (suspect === undefined) {
			return 'clear';
		}
		const now = this.clock.now();
		if (suspect.quarantinedUntil > now) {
			return 'quarantined';
		}
		if (suspect.running || (suspect.peerClaim !== undefined && suspect.peerClaim.until > now)) {
			return 'wait';
		}
		if (suspect.announcedAt === undefined) {
			suspect.announcedAt = now;
			this.changeEmitter.fire(this.toState(fingerprint, suspect));
			return 'wait';
		}
		if (now - suspect.announcedAt < CLAIM_SETTLE_MS) {
			return 'wait';
		}
		suspect.running = true;
		return 'claimed';
	}

	/**
	 * Ends a claim.
	 *
	 * @param fingerprint fingerprint of the suspect
	 */
	public releaseClaim(fingerprint: string): void {
		const suspect = this.suspects.get(fingerprint);
		if (suspect === undefined) {
			return;
		}
		suspect.running = false;
		suspect.announcedAt = undefined;
		if (suspect.quarantinedUntil <= this.clock.now()) {
			this.changeEmitter.fire(this.toState(fingerprint, suspect));
		}
	}

	/**
	 * Reserves a backend server for a suspect, so that a crash of the server can be attributed to this suspect.
	 *
	 * @param backendServer server of the slot that the suspect was assigned
	 * @returns false when another suspect is running on it
	 */
	public tryReserveServer(backendServer: string): boolean {
		if (this.reservedServers.has(backendServer)) {
			return false;
		}
		this.reservedServers.add(backendServer);
		return true;
	}

	/** @param backendServer server on which the suspect is no longer running */
	public releaseServer(backendServer: string): void {
		this.reservedServers.delete(backendServer);
	}

	/** @param fingerprint fingerprint of a request that was in progress when its backend server crashed */
	public recordCrash(fingerprint: string): void {
		const suspect = this.find(fingerprint) ?? this.add(fingerprint);
		suspect.deaths++;
		suspect.lastSeenAt = this.clock.now();
		if (suspect.deaths >= QUARANTINE_CRASHES) {
			const periodMs = INITIAL_QUARANTINE_MS * 2 ** (suspect.deaths - QUARANTINE_CRASHES);
			suspect.quarantinedUntil = this.clock.now() + Math.min(periodMs, MAXIMUM_QUARANTINE_MS);
		}
		this.changeEmitter.fire(this.toState(fingerprint, suspect));
	}

	/** @param fingerprint fingerprint of a request that a backend server completed */
	public recordCompletion(fingerprint: string): void {
		const suspect = this.suspects.get(fingerprint);
		if (suspect === undefined || suspect.quarantinedUntil > this.clock.now()) {
			return;
		}
		this.suspects.delete(fingerprint);
		this.changeEmitter.fire({ fingerprint, deaths: 0, quarantineMs: 0, claimMs: 0 });
	}

	/**
	 * Merges the state of a suspect from a peer. Several routers may report the same crash, so the higher crash count is
	 * used, not the sum.
	 *
	 * @param instance name of the peer
	 * @param state state that the peer sent
	 */
	public applyPeerState(instance: string, state: SuspectState): void {
		const known = this.find(state.fingerprint);
		if (state.deaths === 0) {
			if (known !== undefined && known.quarantinedUntil <= this.clock.now()) {
				this.suspects.delete(state.fingerprint);
			}
			return;
		}
		const suspect = known ?? this.add(state.fingerprint);
		suspect.deaths = Math.max(suspect.deaths, state.deaths);
		suspect.lastSeenAt = this.clock.now();
		const quarantineMs = Math.min(state.quarantineMs, MAXIMUM_QUARANTINE_MS);
		if (quarantineMs > 0) {
			suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, this.clock.now() + quarantineMs);
		}
		this.applyClaim(instance, suspect, state.claimMs);
	}

	/**
	 * Drops the claims of a router that is no longer connected.
	 *
	 * @param instance name of the peer
	 */
	public dropClaims(instance: string): void {
		for (const suspect of this.suspects.values()) {
			if (suspect.peerClaim?.instance === instance) {
				suspect.peerClaim = undefined;
			}
		}
	}

	/** @returns the state of all suspects, for a newly connected peer and for the state dump */
	public list(): readonly SuspectState[] {
		return [...this.suspects].map(([fingerprint, suspect]) => this.toState(fingerprint, suspect));
	}

	private applyClaim(instance: string, suspect: Suspect, claimMs: number): void {
		if (claimMs === 0) {
			if (suspect.peerClaim?.instance === instance) {
				suspect.peerClaim = undefined;
			}
			return;
		}
		const hasPrecedence = suspect.running || (suspect.announcedAt !== undefined && this.instance < instance);
		if (!hasPrecedence) {
			suspect.announcedAt = undefined;
			suspect.peerClaim = { instance, until: this.clock.now() + Math.min(claimMs, MAXIMUM_CLAIM_MS) };
		}
	}

	private find(fingerprint: string): Suspect | undefined {
		const suspect = this.suspects.get(fingerprint);
		if (suspect !== undefined && this.isExpired(suspect)) {
			this.suspects.delete(fingerprint);
			return undefined;
		}
		return suspect;
	}

	private isExpired(suspect: Suspect): boolean {
		const now = this.clock.now();
		return !suspect.running && now - suspect.lastSeenAt > SUSPECT_RETENTION_MS && suspect.quarantinedUntil <= now;
	}

	private add(fingerprint: string): Suspect {
		if (this.suspects.size >= MAXIMUM_SUSPECTS) {
			this.evictOldest();
		}
		const suspect: Suspect = {
			deaths: 0,
			quarantinedUntil: 0,
			lastSeenAt: this.clock.now(),
			announcedAt: undefined,
			running: false,
			peerClaim: undefined,
		};
		this.suspects.set(fingerprint, suspect);
		return suspect;
	}

	// Removes the oldest suspect that is not quarantined, or the oldest one if all are quarantined.
	private evictOldest(): void {
		const now = this.clock.now();
		let oldest: string | undefined;
		for (const [fingerprint, suspect] of this.suspects) {
			if (suspect.quarantinedUntil <= now) {
				oldest = fingerprint;
				break;
			}
			oldest ??= fingerprint;
		}
		if (oldest !== undefined) {
			this.suspects.delete(oldest);
		}
	}

	private toState(fingerprint: string, suspect: Suspect): SuspectState {
		const quarantineMs = Math.max(0, Math.ceil(suspect.quarantinedUntil - this.clock.now()));
		const claimMs = suspect.announcedAt === undefined || quarantineMs > 0 ? 0 : MAXIMUM_CLAIM_MS;
		return { fingerprint, deaths: suspect.deaths, quarantineMs, claimMs };
	}
}
