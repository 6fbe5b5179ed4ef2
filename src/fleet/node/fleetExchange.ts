import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { randomInt } from 'node:crypto';
import type { CrashSuspects } from '../../backends/common/crashSuspects.js';
import type { IClock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { shortKey } from '../../base/common/shortKey.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { EngineFleet } from '../../engines/common/engineFleet.js';
import type { ReservationRequest } from '../../engines/common/placementMessages.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import { readAddress } from '../../settings/node/values.js';
import type { FleetShares } from '../../shares/common/fleetShares.js';
import { decodeOutcome, decodeReservation, encodeReports, FleetOutbox } from '../common/fleetOutbox.js';
import {
	FLUSH_DELAY_PER_PEER_MS,
	HEARTBEAT_INTERVAL_MS,
	KEEPER_NOTICE_DELAY_MS,
	LEAST_FLUSH_DELAY_MS,
	LEAST_USAGE_INTERVAL_MS,
	LOST_PEER_INTERVAL_MS,
	LOST_PEER_KEPT_MS,
	PEER_SILENCE_MS,
	USAGE_INTERVAL_PER_PEER_MS,
} from '../common/fleetTiming.js';
import { type ReservationAnswer, RouterState } from '../common/generated/masticloom/fleet/v1/fleet.js';
import type { FleetDuties } from '../common/fleetDuties.js';

/** Largest number that a random incarnation can have. */
const INCARNATION_LIMIT = 2 ** 47;

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
	/** Which router keeps the queue of a server. */
	readonly duties: FleetDuties;
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
	private readonly answerEmitter = this.register(Emitter.create<ReservationAnswer>());
	private readonly broadcast = FleetOutbox.create(() => this.flushToAll());
	private readonly outboxes = new Map<string, FleetOutbox>();
	private lastBroadcastAt = 0;
	private lastUsageAt = 0;
	private lastLostSendAt = 0;
	private sequence = 0;
	private leaving = false;
	private sent = 0;

	/** Fires at each datagram of a peer, and when a peer is lost. */
	public readonly onDidHear = this.changeEmitter.event;
	/** Fires when a keeper answers a request for a place. */
	public readonly onDidAnswerReservation = this.answerEmitter.event;

	private constructor(
		private readonly identity: FleetIdentity,
		private readonly state: ExchangedState,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
	) {
		super();
		this.register(
			toDisposable(() => {
				this.broadcast.cancel();
				this.outboxes.forEach((outbox) => outbox.cancel());
				this.socket.close();
			}),
		);
		const timer = setInterval(() => this.tick(), HEARTBEAT_INTERVAL_MS / 2);
		this.register(toDisposable(() => clearInterval(timer)));
		const { engines, suspects } = state;
		this.register(engines.onDidPlace((notice) => this.tell(notice.server, (outbox) => outbox.addPlacement(notice))));
		this.register(
			engines.onDidReachFirstEvent((notice) => this.tell(notice.server, (outbox) => outbox.addFirstEvent(notice))),
		);
		this.register(
			engines.onDidEnd((notice) => {
				// In a small fleet all servers' requests are told at intervals.
				if (state.duties.isLargeFleet) {
					this.tell(notice.server, (outbox) => outbox.addEnd(notice));
				}
			}),
		);
		this.register(
			suspects.onDidLearn(({ fingerprint, deaths, quarantineMs }) => {
				const notice = { fingerprint: Buffer.from(fingerprint, 'hex'), deaths, quarantineMs: Math.round(quarantineMs) };
				this.log.write('crash-suspect', { fingerprint, deaths, quarantineMs: notice.quarantineMs });
				this.broadcast.addCrash(notice);
				this.broadcast.schedule(LEAST_FLUSH_DELAY_MS);
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

	/** Whether some other router reads the registrations now. */
	public get isReadByPeers(): boolean {
		return this.peers.some(({ lost, leaving, contactSince }) => !lost && !leaving && contactSince !== undefined);
	}

	/** Tells all routers soon which changes in the store are known here. */
	public announce(): void {
		this.broadcast.schedule(LEAST_FLUSH_DELAY_MS);
	}

	/**
	 * Asks the keeper of a queue for a place.
	 *
	 * @param keeper name of the router
	 * @param request what is asked
	 */
	public requestReservation(keeper: string, request: ReservationRequest): void {
		const outbox = this.outboxOf(keeper);
		outbox.addReservation(request);
		this.flushTo(keeper, outbox);
	}

	/** Tells peers that this router leaves. */
	public leave(): void {
		this.leaving = true;
		this.flushToAll();
	}

	private tell(server: string, add: (outbox: FleetOutbox) => void): void {
		const keeper = this.state.duties.keeperOf(server);
		if (keeper === undefined) {
			add(this.broadcast);
			this.broadcast.schedule(Math.max(LEAST_FLUSH_DELAY_MS, this.peersByName.size * FLUSH_DELAY_PER_PEER_MS));
		} else if (keeper !== this.identity.instance) {
			const outbox = this.outboxOf(keeper);
			add(outbox);
			outbox.schedule(KEEPER_NOTICE_DELAY_MS);
		}
	}

	private outboxOf(peer: string): FleetOutbox {
		let outbox = this.outboxes.get(peer);
		if (outbox === undefined) {
			outbox = FleetOutbox.create((full) => this.flushTo(peer, full));
			this.outboxes.set(peer, outbox);
		}
		return outbox;
	}

	private flushTo(name: string, outbox: FleetOutbox): void {
		outbox.cancel();
		const bytes = this.encode({ replyRequested: false, withUsage: false }, outbox);
		const peer = this.peersByName.get(name);
		if (peer !== undefined) {
			this.send(bytes, peer.datagramAddress);
		}
		if (outbox.hasEvents) {
			outbox.schedule(KEEPER_NOTICE_DELAY_MS);
		}
	}

	private flushToAll(): void {
		const { broadcast } = this;
		broadcast.cancel();
		const now = this.clock.now();
		const usageIntervalMs = Math.max(LEAST_USAGE_INTERVAL_MS, this.peersByName.size * USAGE_INTERVAL_PER_PEER_MS);
		const withUsage = now - this.lastUsageAt >= usageIntervalMs;
		if (withUsage) {
			this.lastUsageAt = now;
		}
		this.lastBroadcastAt = now;
		const toLost = now - this.lastLostSendAt >= LOST_PEER_INTERVAL_MS;
		if (toLost) {
			this.lastLostSendAt = now;
		}
		const bytes = this.encode({ replyRequested: false, withUsage }, broadcast);
		for (const peer of this.peersByName.values()) {
			if (!peer.lost || toLost) {
				this.send(bytes, peer.datagramAddress);
			}
		}
		if (broadcast.hasEvents) {
			broadcast.schedule(LEAST_FLUSH_DELAY_MS);
		}
	}

	private encode(
		options: { readonly replyRequested: boolean; readonly withUsage: boolean },
		outbox?: FleetOutbox,
	): Uint8Array {
		const now = this.clock.now();
		const { engines, shares, duties } = this.state;
		const contactSince = this.state.contactSince();
		const state = RouterState.create({
			storeContactMs: contactSince === undefined ? 0 : 1 + Math.max(0, Math.round(now - contactSince)),
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
		outbox?.moveTo(state, (server) => engines.ownInProgressAt(server), now);
		if (outbox === this.broadcast && duties.isLargeFleet) {
			state.reports = encodeReports(engines.keptReports(now));
		}
		if (options.withUsage) {
			state.hasUsage = true;
			state.usage = [...shares.ownUsage(now)];
			if (!duties.isLargeFleet) {
				state.hasAllStreams = true;
				state.streams = [...engines.ownInProgress()]
					.filter(([, requests]) => requests > 0)
					.map(([server, requests]) => ({ engine: shortKey(server), requests }));
			}
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
		if (before === undefined || before.lost || before.leaving !== peer.leaving) {
			this.updateKeepers();
		}
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
		for (const { engine, ...report } of state.reports) {
			engines.applyReport(engine, report, now);
		}
		for (const { engine, outcome } of state.outcomes) {
			const decoded = decodeOutcome(outcome);
			if (decoded !== undefined) {
				engines.applyOutcome(engine, decoded, now);
			}
		}
		if (state.hasUsage) {
			shares.applyPeer(state.instance, state.usage, now);
		}
		if (state.hasAllStreams || state.streams.length > 0) {
			const streams = new Map(state.streams.map(({ engine, requests }) => [engine, requests]));
			engines.applyInProgress(state.instance, streams, state.hasAllStreams);
		}
		this.answerReservations(state, now);
		state.answers.forEach((answer) => this.answerEmitter.fire(answer));
	}

	private answerReservations({ instance, reservations }: RouterState, now: number): void {
		if (reservations.length === 0) {
			return;
		}
		const outbox = this.outboxOf(instance);
		for (const encoded of reservations) {
			const request = decodeReservation(encoded);
			const answer = this.state.engines.reserve(instance, request, now);
			if (answer === undefined) {
				continue; // The peer decides by itself when it gets no answer.
			}
			const { sequence } = request;
			if (answer.server === undefined) {
				this.log.write('reservation-declined', {
					peer: instance,
					sequence,
					waitMs: Math.round(answer.waitMs),
					limitMs: Math.round(request.limitMs),
					maximumLoad: request.maximumLoad,
					servers: answer.reports.size,
				});
			}
			outbox.addAnswer(sequence, answer);
		}
		this.flushTo(instance, outbox);
	}

	// A router that begins to keep a queue hears what is in it from those who placed it.
	private updateKeepers(): void {
		const { duties, engines } = this.state;
		const serving = this.peers.filter(({ lost, leaving }) => !lost && !leaving);
		const moved = duties.setRouters(
			serving.map(({ instance }) => instance),
			this.peersByName.size + 1,
		);
		if (!moved) {
			return;
		}
		engines.unreadPlacements().forEach((notice) => this.tell(notice.server, (outbox) => outbox.addPlacement(notice)));
		for (const [server, requests] of engines.ownInProgress()) {
			if (requests > 0) {
				this.tell(server, (outbox) => outbox.addEnd({ server, outcome: undefined }));
			}
		}
	}

	private tick(): void {
		const now = this.clock.now();
		let changed = false;
		for (const peer of this.peersByName.values()) {
			const silentMs = now - peer.heardAt;
			if (silentMs > LOST_PEER_KEPT_MS) {
				this.peersByName.delete(peer.instance);
				this.outboxes.get(peer.instance)?.cancel();
				this.outboxes.delete(peer.instance);
				changed = true;
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
				changed = true;
			}
		}
		if (changed) {
			this.updateKeepers();
		}
		const heartbeatMs = this.state.duties.isLargeFleet ? HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS / 2;
		if (now - this.lastBroadcastAt >= heartbeatMs) {
			this.flushToAll();
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
