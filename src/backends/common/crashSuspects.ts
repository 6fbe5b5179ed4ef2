import type { IClock } from '../../base/common/clock.js';
import { type Event, Emitter } from '../../base/common/event.js';

/** Deaths of backend servers after which a fingerprint is quarantined. */
const QUARANTINE_DEATHS = 2;

/** First quarantine; each further death doubles it up to the longest. */
const FIRST_QUARANTINE_MS = 600_000;
const LONGEST_QUARANTINE_MS = 24 * 3_600_000;

/** A suspect that was not seen for this long is forgotten. */
const MEMORY_MS = 3_600_000;

// An account that sends many different requests to a crashing server must not fill the router's memory.
const MAXIMUM_SUSPECTS = 10_000;

/** A router that runs a suspect claims it among its peers for at most this long. */
const CLAIM_MS = 600_000;

/** Time for claims of several routers to cross; the lowest instance name prevails. */
const CLAIM_SETTLE_MS = 50;

/** What is known of a fingerprint that was in progress when a backend server died. */
export interface SuspectState {
	readonly fingerprint: string;
	/** Deaths of backend servers with the fingerprint in progress; 0 when it was cleared. */
	readonly deaths: number;
	/** Milliseconds of quarantine left. */
	readonly quarantineMs: number;
	/** Milliseconds for which the reporting router claims to be the only one that runs it. */
	readonly claimMs: number;
}

interface Suspect {
	deaths: number;
	quarantinedUntil: number;
	seenAt: number;
	/** When this router announced that it wants to run the request. */
	announcedAt: number | undefined;
	/** A copy of the request runs on this router. */
	running: boolean;
	/** Claim of another router. */
	peerClaim: { readonly instance: string; readonly until: number } | undefined;
}

/** Request fingerprints that may crash backend servers, as this router and its peers have seen them. */
export class CrashSuspects {
	private readonly suspects = new Map<string, Suspect>();
	private readonly occupiedServers = new Set<string>();
	private readonly changeEmitter = Emitter.create<SuspectState>();

	/** Fires when this router learned something that its peers have to know. */
	public readonly onDidChangeSuspect: Event<SuspectState> = this.changeEmitter.event;

	private constructor(
		private readonly instance: string,
		private readonly clock: IClock,
	) {}

	/**
	 * @param instance name of this router
	 * @param clock measures quarantine
	 * @returns a register without suspects
	 */
	public static create(instance: string, clock: IClock): CrashSuspects {
		return new CrashSuspects(instance, clock);
	}

	/** False while there are no suspects, so that requests need no fingerprint. */
	public get hasSuspects(): boolean {
		return this.suspects.size > 0;
	}

	/**
	 * @param fingerprint of a request that arrived
	 * @returns milliseconds for which it is to be refused; 0 when it may run
	 */
	public remainingQuarantineMs(fingerprint: string): number {
		return Math.max(0, (this.find(fingerprint)?.quarantinedUntil ?? 0) - this.clock.now());
	}

	/**
	 * Claims a suspect among all routers. One copy of it runs at a time, so that no two backend servers die of it before
	 * both deaths are known.
	 *
	 * @param fingerprint of a request that wants to run
	 * @returns `clear` when it is no suspect, `claimed` when {@link releaseClaim} must be called, `wait` to ask again soon,
	 * `quarantined` when it must not run
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
	 * @param fingerprint of the suspect
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
	 * Reserves a backend server for a suspect, so that it is known which suspect the server died of.
	 *
	 * @param backendServer server of the slot that the suspect got
	 * @returns false when another suspect runs on it
	 */
	public tryReserveServer(backendServer: string): boolean {
		if (this.occupiedServers.has(backendServer)) {
			return false;
		}
		this.occupiedServers.add(backendServer);
		return true;
	}

	/** @param backendServer server on which the suspect has ended */
	public releaseServer(backendServer: string): void {
		this.occupiedServers.delete(backendServer);
	}

	/** @param fingerprint of a request that was in progress when its backend server died */
	public recordCrash(fingerprint: string): void {
		const suspect = this.find(fingerprint) ?? this.add(fingerprint);
		suspect.deaths++;
		suspect.seenAt = this.clock.now();
		if (suspect.deaths >= QUARANTINE_DEATHS) {
			const periodMs = FIRST_QUARANTINE_MS * 2 ** (suspect.deaths - QUARANTINE_DEATHS);
			suspect.quarantinedUntil = this.clock.now() + Math.min(periodMs, LONGEST_QUARANTINE_MS);
		}
		this.changeEmitter.fire(this.toState(fingerprint, suspect));
	}

	/** @param fingerprint of a request that a backend server ran to its end */
	public recordCompletion(fingerprint: string): void {
		const suspect = this.suspects.get(fingerprint);
		if (suspect === undefined || suspect.quarantinedUntil > this.clock.now()) {
			return;
		}
		this.suspects.delete(fingerprint);
		this.changeEmitter.fire({ fingerprint, deaths: 0, quarantineMs: 0, claimMs: 0 });
	}

	/**
	 * Takes over what a peer has learned. Peers that saw the same death must not count it twice, so the higher number of
	 * deaths counts.
	 *
	 * @param instance name of the peer
	 * @param state what it sent
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
		suspect.seenAt = this.clock.now();
		const quarantineMs = Math.min(state.quarantineMs, LONGEST_QUARANTINE_MS);
		if (quarantineMs > 0) {
			suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, this.clock.now() + quarantineMs);
		}
		this.applyClaim(instance, suspect, state.claimMs);
	}

	/**
	 * Drops the claims of a router that is not connected any more.
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

	/** @returns all suspects, for a peer that has just connected and for the state dump */
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
		const prevails = suspect.running || (suspect.announcedAt !== undefined && this.instance < instance);
		if (!prevails) {
			suspect.announcedAt = undefined;
			suspect.peerClaim = { instance, until: this.clock.now() + Math.min(claimMs, CLAIM_MS) };
		}
	}

	private find(fingerprint: string): Suspect | undefined {
		const suspect = this.suspects.get(fingerprint);
		if (suspect !== undefined && this.isForgotten(suspect)) {
			this.suspects.delete(fingerprint);
			return undefined;
		}
		return suspect;
	}

	private isForgotten(suspect: Suspect): boolean {
		const now = this.clock.now();
		return !suspect.running && now - suspect.seenAt > MEMORY_MS && suspect.quarantinedUntil <= now;
	}

	private add(fingerprint: string): Suspect {
		if (this.suspects.size >= MAXIMUM_SUSPECTS) {
			this.makeRoom();
		}
		const suspect: Suspect = {
			deaths: 0,
			quarantinedUntil: 0,
			seenAt: this.clock.now(),
			announcedAt: undefined,
			running: false,
			peerClaim: undefined,
		};
		this.suspects.set(fingerprint, suspect);
		return suspect;
	}

	// The oldest suspect that is not quarantined goes first.
	private makeRoom(): void {
		const now = this.clock.now();
		let victim: string | undefined;
		for (const [fingerprint, suspect] of this.suspects) {
			if (suspect.quarantinedUntil <= now) {
				victim = fingerprint;
				break;
			}
			victim ??= fingerprint;
		}
		if (victim !== undefined) {
			this.suspects.delete(victim);
		}
	}

	private toState(fingerprint: string, suspect: Suspect): SuspectState {
		const quarantineMs = Math.max(0, Math.ceil(suspect.quarantinedUntil - this.clock.now()));
		const claimMs = suspect.announcedAt === undefined || quarantineMs > 0 ? 0 : CLAIM_MS;
		return { fingerprint, deaths: suspect.deaths, quarantineMs, claimMs };
	}
}
