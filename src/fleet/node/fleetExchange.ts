import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { randomInt } from 'node:crypto';
import type { CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { IClock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { readAddress } from '../../settings/node/values.js';
import type { FleetShares } from '../../shares/common/fleetShares.js';
import {
	FAR_FLUSH_DELAY_MS,
	FLUSH_DELAY_PER_PEER_MS,
	HEARTBEAT_INTERVAL_MS,
	LEAST_FLUSH_DELAY_MS,
	LEAST_USAGE_INTERVAL_MS,
	LOST_PEER_INTERVAL_MS,
	LOST_PEER_KEPT_MS,
	PEER_SILENCE_MS,
	SMALL_FLEET_ROUTERS,
	USAGE_INTERVAL_PER_PEER_MS,
} from '../common/fleetTiming.js';
import {
	type CrashNotice,
	type FirstEvent,
	type Placement,
	RouterState,
} from '../common/generated/masticloom/fleet/v1/fleet.js';

/** Largest number that a random incarnation can have. */
const INCARNATION_LIMIT = 2 ** 47;

/** A datagram above this size is split by the network, and lost when one piece is. */
const LARGEST_EVENTS_PER_DATAGRAM = 30;

/** What waits to be sent to some of the peers. */
interface Outbox {
	readonly placements: { readonly notice: Omit<Placement, 'ageMs'>; readonly at: number }[];
	readonly firstEvents: { readonly notice: Omit<FirstEvent, 'ageMs'>; readonly at: number }[];
	readonly crashes: CrashNotice[];
	timer: NodeJS.Timeout | undefined;
	lastSentAt: number;
	lastUsageAt: number;
	lastLostSendAt: number;
}

/** Another router, as its datagrams describe it. */
export interface FleetPeer {
	readonly instance: string;
	readonly incarnation: number;
	readonly failureDomain: string;
	/** Address for requests between routers. */
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
	readonly leaving: boolean;
	/** Monotonic milliseconds of its last datagram. */
	readonly heardAt: number;
	/** Newest change that the peer knows, by followed prefix. */
	readonly followedRevisions: readonly number[];
	readonly lost: boolean;
	/** Monotonic milliseconds since which the peer has read the registrations; undefined while it cannot. */
	readonly contactSince: number | undefined;
	readonly sequence: number;
}

/** What a router tells its peers about itself. */
export interface FleetIdentity {
	readonly instance: string;
	readonly failureDomain: string;
	readonly peerAddress: SocketAddress;
	readonly datagramAddress: SocketAddress;
}

/** Parts of the router whose state is exchanged. */
export interface ExchangedState {
	readonly engines: EngineFleet;
	readonly shares: FleetShares;
	/** Newest change that is known, by followed prefix. */
	readonly followedRevisions: () => readonly number[];
	readonly suspects: CrashSuspects;
	/** Monotonic milliseconds since which this router has read the registrations; undefined while it cannot. */
	readonly contactSince: () => number | undefined;
}

/**
 * Exchanges the state of routers by datagrams. All of it is soft: a later datagram replaces what an earlier one said, so
 * nothing is sent again when it is lost, and a peer that cannot be reached holds nothing up.
 */
export class FleetExchange extends Disposable {
	private readonly incarnation = randomInt(INCARNATION_LIMIT);
	private readonly peersByName = new Map<string, FleetPeer>();
	private readonly changeEmitter = this.register(Emitter.create<FleetPeer>());
	private readonly socket: Socket = createSocket('udp4');
	private readonly near = createOutbox();
	private readonly far = createOutbox();
	private sequence = 0;
	private leaving = false;
	private sent = 0;

	/** Fires at each datagram of a peer, and when a peer is lost. */
	public readonly onDidHear = this.changeEmitter.event;

	private constructor(
		private readonly identity: FleetIdentity,
		private readonly state: ExchangedState,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
	) {
		super();
		this.register(
			toDisposable(() => {
				clearTimeout(this.near.timer);
				clearTimeout(this.far.timer);
				this.socket.close();
			}),
		);
		const timer = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS / 2);
		this.register(toDisposable(() => clearInterval(timer)));
		this.register(
			state.engines.onDidPlace(({ server, sequence, workMs, parts, at }) => {
				const notice = { engine: shortKey(server), sequence, workMs: Math.round(workMs), parts: [...parts] };
				this.post((outbox) => outbox.placements.push({ notice, at }));
			}),
		);
		this.register(
			state.engines.onDidReachFirstEvent(({ server, sequence, abandoned, at }) => {
				const notice = { engine: shortKey(server), sequence, abandoned };
				this.post((outbox) => outbox.firstEvents.push({ notice, at }));
			}),
		);
		this.register(
			state.suspects.onDidLearn(({ fingerprint, deaths, quarantineMs }) => {
				const notice = { fingerprint: Buffer.from(fingerprint, 'hex'), deaths, quarantineMs: Math.round(quarantineMs) };
				this.log.write('crash-suspect', { fingerprint, deaths, quarantineMs: notice.quarantineMs });
				this.post((outbox) => outbox.crashes.push(notice));
			}),
		);
		this.socket.on('message', (bytes, source) => this.receive(bytes, source));
		this.socket.on('error', (error) => log.write('datagram-socket-failed', { reason: error.message }));
	}

	/**
	 * @param identity of this router
	 * @param state what is exchanged
	 * @param clock measures ages
	 * @param log receives changes of peers
	 * @returns an exchange that does not listen yet
	 */
	public static create(
		identity: FleetIdentity,
		state: ExchangedState,
		clock: IClock,
		log: IDecisionLog,
	): FleetExchange {
		return new FleetExchange(identity, state, clock, log);
	}

	/** Datagrams sent since the start. */
	public get sentCount(): number {
		return this.sent;
	}

	/** Routers that are heard of, without this one. */
	public get peers(): readonly FleetPeer[] {
		return [...this.peersByName.values()];
	}

	/** Routers that serve, this one included. */
	public get routerCount(): number {
		return 1 + this.peers.filter(({ lost, leaving }) => !lost && !leaving).length;
	}

	/** Monotonic milliseconds since which some router has read the registrations; undefined while none is known to. */
	public contactSince(): number | undefined {
		const times = [
			this.state.contactSince(),
			...this.peers.filter(({ lost }) => !lost).map((peer) => peer.contactSince),
		];
		return times.reduce((least, time) => (least === undefined || (time ?? Infinity) < least ? time : least), undefined);
	}

	/** @returns completes when datagrams can be received */
	public listen(): Promise<void> {
		return new Promise((resolve, reject) => {
			const { host, port } = this.identity.datagramAddress;
			this.socket.once('error', reject);
			this.socket.bind(port, host, () => {
				this.socket.off('error', reject);
				resolve();
			});
		});
	}

	/**
	 * Greets a router that may exist, so that both learn of each other.
	 *
	 * @param address to which its datagrams go
	 */
	public introduce(address: SocketAddress): void {
		const own = this.identity.datagramAddress;
		const isKnown = this.peers.some(({ datagramAddress, lost }) => datagramAddress.host === address.host && !lost);
		if (isKnown || (address.host === own.host && address.port === own.port)) {
			return;
		}
		this.send(this.encode({ replyRequested: true, withUsage: true }), address);
	}

	/** Tells peers that this router leaves. */
	public leave(): void {
		this.leaving = true;
		this.flush(this.near);
		this.flush(this.far);
	}

	private post(add: (outbox: Outbox) => unknown): void {
		add(this.near);
		this.scheduleFlush(this.near);
		if (this.hasFarPeers) {
			add(this.far);
			this.scheduleFlush(this.far);
		}
	}

	private get hasFarPeers(): boolean {
		return this.peersByName.size >= SMALL_FLEET_ROUTERS;
	}

	private isFar(peer: FleetPeer): boolean {
		return this.hasFarPeers && peer.failureDomain !== this.identity.failureDomain;
	}

	private receiversOf(outbox: Outbox): readonly FleetPeer[] {
		return this.peers.filter((peer) => this.isFar(peer) === (outbox === this.far));
	}

	private scheduleFlush(outbox: Outbox): void {
		outbox.timer ??= setTimeout(() => this.flush(outbox), this.flushDelayMs(outbox));
	}

	private flushDelayMs(outbox: Outbox): number {
		const leastMs = outbox === this.far ? FAR_FLUSH_DELAY_MS : LEAST_FLUSH_DELAY_MS;
		return Math.max(leastMs, this.receiversOf(outbox).length * FLUSH_DELAY_PER_PEER_MS);
	}

	private flush(outbox: Outbox): void {
		clearTimeout(outbox.timer);
		outbox.timer = undefined;
		const now = this.clock.now();
		const receivers = this.receiversOf(outbox);
		const usageIntervalMs = Math.max(LEAST_USAGE_INTERVAL_MS, receivers.length * USAGE_INTERVAL_PER_PEER_MS);
		const withUsage = now - outbox.lastUsageAt >= usageIntervalMs;
		if (withUsage) {
			outbox.lastUsageAt = now;
		}
		outbox.lastSentAt = now;
		const toLost = now - outbox.lastLostSendAt >= LOST_PEER_INTERVAL_MS;
		if (toLost) {
			outbox.lastLostSendAt = now;
		}
		const bytes = this.encode({ replyRequested: false, withUsage }, outbox);
		for (const peer of receivers) {
			if (!peer.lost || toLost) {
				this.send(bytes, peer.datagramAddress);
			}
		}
		if (outbox.placements.length > 0 || outbox.firstEvents.length > 0) {
			this.scheduleFlush(outbox);
		}
	}

	private encode(
		options: { readonly replyRequested: boolean; readonly withUsage: boolean },
		outbox?: Outbox,
	): Uint8Array {
		const now = this.clock.now();
		const toAge = (at: number): number => Math.max(0, Math.round(now - at));
		const contactSince = this.state.contactSince();
		const state = RouterState.create({
			storeContactMs: contactSince === undefined ? 0 : 1 + toAge(contactSince),
			instance: this.identity.instance,
			incarnation: this.incarnation,
			sequence: ++this.sequence,
			failureDomain: this.identity.failureDomain,
			peerAddress: formatAddress(this.identity.peerAddress),
			datagramAddress: formatAddress(this.identity.datagramAddress),
			leaving: this.leaving,
			replyRequested: options.replyRequested,
			followedRevisions: [...this.state.followedRevisions()],
		});
		if (outbox !== undefined) {
			state.placements = outbox.placements
				.splice(0, LARGEST_EVENTS_PER_DATAGRAM)
				.map(({ notice, at }) => ({ ...notice, ageMs: toAge(at) }));
			state.firstEvents = outbox.firstEvents
				.splice(0, LARGEST_EVENTS_PER_DATAGRAM)
				.map(({ notice, at }) => ({ ...notice, ageMs: toAge(at) }));
			state.crashes = outbox.crashes.splice(0, LARGEST_EVENTS_PER_DATAGRAM);
		}
		if (options.withUsage) {
			state.hasUsage = true;
			state.usage = [...this.state.shares.ownUsage(now)];
			state.streams = [...this.state.engines.ownInProgress()]
				.filter(([, requests]) => requests > 0)
				.map(([server, requests]) => ({ engine: shortKey(server), requests }));
		}
		return RouterState.encode(state).finish();
	}

	private send(bytes: Uint8Array, { host, port }: SocketAddress): void {
		this.sent++;
		// An unreachable peer is noticed by its silence.
		this.socket.send(bytes, port, host, () => undefined);
	}

	private receive(bytes: Buffer, source: RemoteInfo): void {
		let state: RouterState;
		try {
			state = RouterState.decode(bytes);
		} catch (error) {
			this.log.write('datagram-unreadable', { source: source.address, reason: String(error) });
			return;
		}
		const peerAddress = readAddress(state.peerAddress).unwrapOr(undefined);
		const datagramAddress = readAddress(state.datagramAddress).unwrapOr(undefined);
		if (state.instance === this.identity.instance || peerAddress === undefined || datagramAddress === undefined) {
			return;
		}
		const before = this.peersByName.get(state.instance);
		if (before?.incarnation === state.incarnation && state.sequence <= before.sequence) {
			return;
		}
		const now = this.clock.now();
		if (before !== undefined && before.incarnation !== state.incarnation) {
			this.forgetWork(state.instance, now);
		}
		const peer: FleetPeer = {
			instance: state.instance,
			incarnation: state.incarnation,
			failureDomain: state.failureDomain,
			peerAddress,
			datagramAddress,
			leaving: state.leaving,
			heardAt: now,
			followedRevisions: state.followedRevisions,
			lost: false,
			contactSince: state.storeContactMs > 0 ? now - state.storeContactMs : undefined,
			sequence: state.sequence,
		};
		this.peersByName.set(state.instance, peer);
		this.logChange(before, peer);
		this.apply(state, now);
		this.changeEmitter.fire(peer);
		if (state.replyRequested) {
			this.send(this.encode({ replyRequested: false, withUsage: true }), datagramAddress);
		}
	}

	private apply(state: RouterState, now: number): void {
		const { engines, shares, suspects } = this.state;
		for (const { engine, sequence, workMs, ageMs, parts } of state.placements) {
			engines.applyPlacement(state.instance, { server: engine, sequence, workMs, parts }, now - ageMs);
		}
		for (const { engine, sequence, abandoned, ageMs } of state.firstEvents) {
			engines.applyFirstEvent(state.instance, { server: engine, sequence, abandoned }, now - ageMs);
		}
		for (const { fingerprint, deaths, quarantineMs } of state.crashes) {
			const name = Buffer.from(fingerprint).toString('hex');
			suspects.applyNotice(state.instance, { fingerprint: name, deaths, quarantineMs, claimMs: 0 });
		}
		if (state.hasUsage) {
			shares.applyPeer(state.instance, state.usage, now);
			engines.applyInProgress(state.instance, new Map(state.streams.map(({ engine, requests }) => [engine, requests])));
		}
	}

	private tick(): void {
		const now = this.clock.now();
		for (const peer of this.peersByName.values()) {
			const silentMs = now - peer.heardAt;
			if (silentMs > LOST_PEER_KEPT_MS) {
				this.peersByName.delete(peer.instance);
			} else if (silentMs > PEER_SILENCE_MS && !peer.lost) {
				const lostPeer: FleetPeer = { ...peer, lost: true };
				this.peersByName.set(peer.instance, lostPeer);
				this.forgetWork(peer.instance, now);
				this.log.write('peer-lost', {
					peer: peer.instance,
					incarnation: peer.incarnation,
					silentMs: Math.round(silentMs),
				});
				this.changeEmitter.fire(lostPeer);
			}
		}
		for (const outbox of [this.near, this.far]) {
			const heartbeatMs = outbox === this.far ? HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS / 2;
			if (now - outbox.lastSentAt >= heartbeatMs) {
				this.flush(outbox);
			}
		}
	}

	private forgetWork(instance: string, now: number): void {
		this.state.engines.removeRouter(instance, now);
		this.state.shares.removePeer(instance);
	}

	private logChange(before: FleetPeer | undefined, peer: FleetPeer): void {
		const fields = { peer: peer.instance, incarnation: peer.incarnation, failureDomain: peer.failureDomain };
		if (before === undefined) {
			this.log.write('peer-found', fields);
		} else if (before.incarnation !== peer.incarnation) {
			this.log.write('peer-restarted', fields);
		} else if (before.lost) {
			this.log.write('peer-regained', fields);
		} else if (peer.leaving && !before.leaving) {
			this.log.write('peer-leaving', fields);
		}
	}
}

function createOutbox(): Outbox {
	return {
		placements: [],
		firstEvents: [],
		crashes: [],
		timer: undefined,
		lastSentAt: 0,
		lastUsageAt: 0,
		lastLostSendAt: 0,
	};
}
