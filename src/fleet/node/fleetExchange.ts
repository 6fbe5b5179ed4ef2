import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import type { IClock } from '../../base/common/clock.js';
import { Emitter, type Event } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { ReservationRequest } from '../../engines/common/placementMessages.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import { parseRemoteAddress } from '../../settings/node/values.js';
import type { ExchangedState, RouterIdentity } from '../common/exchangedState.js';
import { type Announcement, FleetMembership, TICK_INTERVAL_MS } from '../common/fleetMembership.js';
import {
	decodeMember,
	decodeSender,
	encodeMember,
	encodeRelayedReports,
	hasValidNumbers,
	type AddressParser,
} from '../common/fleetMessages.js';
import { decodeReservation, encodeReports, FleetOutbox } from '../common/fleetOutbox.js';
import { type FleetPeer, isServing } from '../common/fleetPeer.js';
import {
	FLUSH_DELAY_PER_PEER_MS,
	HEARTBEAT_INTERVAL_MS,
	IN_STEP_MS,
	OWNER_NOTICE_DELAY_MS,
	MINIMUM_FLUSH_DELAY_MS,
	MINIMUM_USAGE_INTERVAL_MS,
	LOST_PEER_PROBE_INTERVAL_MS,
	MEMBERS_PER_DATAGRAM,
	MEMBER_UPDATE_DELAY_MS,
	STANDSTILL_THRESHOLD_MS,
	USAGE_INTERVAL_PER_PEER_MS,
} from '../common/fleetTiming.js';
import { OVER_SHARE_LIMITS } from '../../shares/common/fleetShares.js';
import { type ReservationAnswer, RouterState, type UsageSum } from '../common/generated/masticloom/fleet/v1/fleet.js';
import { ReportBuffer } from '../common/reportBuffer.js';
import type { MemberUpdate } from '../common/memberList.js';
import { type DatagramContent, DatagramWriter } from './datagramWriter.js';
import { CrashNotices } from './crashNotices.js';
import { PeerStateApplier } from './peerStateApplier.js';

/** Notices with up to 16 prompt parts each that fit into a datagram without fragmentation. */
const STATE_NOTICES_PER_DATAGRAM = 7;

/**
 * Exchanges the state of routers by datagrams. All of it is soft state: a later datagram replaces the content of an
 * earlier one, so lost datagrams are not resent, and an unreachable peer delays nothing.
 */
export class FleetExchange extends Disposable {
	private readonly writer: DatagramWriter;
	private readonly membership: FleetMembership;
	private readonly reports = ReportBuffer.create();
	private readonly received: PeerStateApplier;
	private readonly crashNotices: CrashNotices;
	private readonly peerUpdateEmitter = this.register(Emitter.create<FleetPeer>());
	private readonly socket: Socket = createSocket('udp4');
	private readonly reservationResponseEmitter = this.register(Emitter.create<ReservationAnswer>());
	private readonly broadcast = FleetOutbox.create(() => this.flushToAll());
	private readonly outboxes = new Map<string, FleetOutbox>();
	private lastBroadcastAt = 0;
	private lastUsageAt = 0;
	private lastProbeAt = 0;
	private lastSuspectsAt = 0;
	/** Difference between the time of day and the monotonic clock at the last tick. */
	private clockOffsetMs: number;
	private stoodStillUntil = -Infinity;
	private wasRelay = false;
	private heard = 1;
	private wasLarge = false;
	private sent = 0;

	/** Fires for each datagram of a peer, and when a peer is lost. */
	public readonly onDidUpdatePeer = this.peerUpdateEmitter.event;
	/** Fires for each response of a queue owner to a reservation request. */
	public readonly onDidReceiveReservationResponse = this.reservationResponseEmitter.event;

	/** Fires with the key of a server that another router has found to have ended. */
	public readonly onDidHearCrash: Event<number>;

	private constructor(
		private readonly identity: RouterIdentity,
		private readonly state: ExchangedState,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
	) {
		super();
		this.clockOffsetMs = Date.now() - clock.now();
		this.writer = DatagramWriter.create(identity, state, clock);
		this.membership = FleetMembership.create(identity.instance, identity.failureDomain);
		const isRelay = (): boolean => this.isRelay;
		this.received = PeerStateApplier.create(state, identity.failureDomain, isRelay, this.reports);
		this.register(
			toDisposable(() => {
				this.broadcast.cancel();
				this.outboxes.forEach((outbox) => outbox.cancel());
				this.socket.close();
			}),
		);
		const timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
		this.register(toDisposable(() => clearInterval(timer)));
		const { engines } = state;
		this.register(
			engines.onDidPlace((notice) => this.notifyQueueOwner(notice.server, (outbox) => outbox.addPlacement(notice))),
		);
		this.register(
			engines.onDidReceiveFirstEvent((notice) =>
				this.notifyQueueOwner(notice.server, (outbox) => outbox.addFirstEvent(notice)),
			),
		);
		this.register(
			engines.onDidEndRequest((notice) => {
				// In a small fleet the numbers of requests at all servers are sent at intervals.
				if (state.assignments.isLargeFleet) {
					this.notifyQueueOwner(notice.server, (outbox) => outbox.addEnd(notice));
				}
			}),
		);
		this.register(
			engines.onDidReceiveLeavingNotice((notice) =>
				this.notifyQueueOwner(notice.server, (outbox) => outbox.addLeaving(notice)),
			),
		);
		this.register(
			engines.onDidReceiveRequestLimit((report) =>
				this.notifyQueueOwner(report.server, (outbox) => outbox.addRequestLimit(report)),
			),
		);
		this.register(
			engines.onDidReceiveLoad((report) => this.notifyQueueOwner(report.server, (outbox) => outbox.addLoad(report))),
		);
		this.crashNotices = this.register(
			CrashNotices.create({
				suspects: state.suspects,
				countRouters: () => this.routerCount,
				broadcast: (add) => {
					add(this.broadcast);
					this.broadcast.schedule(MINIMUM_FLUSH_DELAY_MS);
				},
				clock,
				log,
			}),
		);
		this.onDidHearCrash = this.crashNotices.onDidHearCrash;
		this.socket.on('message', (bytes, source) => this.receive(bytes, source));
		this.socket.on('error', (error) => log.write('datagram-socket-failed', { reason: error.message }));
	}

	/**
	 * @param identity of this router
	 * @param state to be exchanged
	 * @param clock measures ages
	 * @param log records changes of peers
	 * @returns an exchange that does not listen yet
	 */
	public static create(
		identity: RouterIdentity,
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

	/** Known routers, including lost ones, without this one. */
	public get peers(): readonly FleetPeer[] {
		return this.membership.members.all;
	}

	/** Number of serving routers, including this one. */
	public get routerCount(): number {
		return 1 + this.peers.filter(isServing).length;
	}

	/** Fraction of the routers that serve, as far as known, from which this router receives datagrams, from 0 to 1. */
	public get heardFraction(): number {
		return this.heard;
	}

	/**
	 * Monotonic milliseconds since which some router has been reading the server registrations; undefined while none
	 * can.
	 */
	public contactSince(): number | undefined {
		const times = [
			this.state.contactSince(),
			...this.peers.filter(({ lost }) => !lost).map((peer) => peer.contactSince),
		];
		return times.reduce((least, time) => (least === undefined || (time ?? Infinity) < least ? time : least), undefined);
	}

	/** @returns a promise that resolves when datagrams can be received */
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
	 * Sends a datagram to a router that may exist and requests a reply, so that the two learn of each other.
	 *
	 * @param address at which the router would receive datagrams
	 */
	public introduce(address: SocketAddress): void {
		const own = this.identity.datagramAddress;
		const isKnown = this.peers.some(({ datagramAddress, lost }) => datagramAddress.host === address.host && !lost);
		if (isKnown || (address.host === own.host && address.port === own.port)) {
			return;
		}
		this.send(this.writer.write({ replyRequested: true, withUsage: !this.state.assignments.isLargeFleet }), address);
	}

	/** Whether some other serving router reads the server registrations now. */
	public get isStoreReadByPeers(): boolean {
		return this.peers.some((peer) => isServing(peer) && peer.contactSince !== undefined);
	}

	/**
	 * Whether this router has to search the store for other routers; in a large fleet only relays do, and report the
	 * routers that they find.
	 */
	public get needsDiscovery(): boolean {
		return !this.state.assignments.isLargeFleet || this.isRelay;
	}

	/**
	 * Whether this router has just heard of all others, in a large fleet of a relay, and none of them knows of a later
	 * change in the store. A router that is cut off, or has just stood still, may have missed changes.
	 */
	public get isInStep(): boolean {
		const now = this.clock.now();
		const own = this.state.followedRevisions();
		const direct = this.peers.filter((peer) => isServing(peer) && peer.followedRevisions.length > 0);
		const earliest = Math.max(now - IN_STEP_MS, this.stoodStillUntil);
		const heard = direct.filter(({ heardAt }) => heardAt >= earliest);
		const isHeard = heard.length > 0 && (this.state.assignments.isLargeFleet || heard.length === this.routerCount - 1);
		const isBehind = heard.some(({ followedRevisions }) =>
			followedRevisions.some((revision, index) => revision > (own[index] ?? 0)),
		);
		return isHeard && !isBehind && !this.hasStoodStill(now);
	}

	/** Whether this router is a relay, which forwards reports and membership updates and announces store changes. */
	public get isRelay(): boolean {
		return this.membership.isRelay;
	}

	/**
	 * Schedules a broadcast of the state of this router, such as the revisions of the last store changes that it knows.
	 */
	public announce(): void {
		this.broadcast.schedule(MINIMUM_FLUSH_DELAY_MS);
	}

	/**
	 * Requests a place in a queue from its owner.
	 *
	 * @param queueOwner name of the router
	 * @param request to send
	 */
	public requestReservation(queueOwner: string, request: ReservationRequest): void {
		const outbox = this.getOutbox(queueOwner);
		outbox.addReservation(request);
		this.flushTo(queueOwner, outbox);
	}

	/** Notifies peers that this router is leaving. */
	public leave(): void {
		this.writer.leave();
		this.flushToAll();
	}

	private notifyQueueOwner(server: string, add: (outbox: FleetOutbox) => void): void {
		const queueOwner = this.state.assignments.queueOwnerOf(server);
		if (queueOwner === undefined) {
			add(this.broadcast);
			this.broadcast.schedule(Math.max(MINIMUM_FLUSH_DELAY_MS, this.membership.members.size * FLUSH_DELAY_PER_PEER_MS));
		} else if (queueOwner !== this.identity.instance) {
			const outbox = this.getOutbox(queueOwner);
			add(outbox);
			outbox.schedule(OWNER_NOTICE_DELAY_MS);
		}
	}

	private getOutbox(peer: string): FleetOutbox {
		let outbox = this.outboxes.get(peer);
		if (outbox === undefined) {
			outbox = FleetOutbox.create((due) => this.flushTo(peer, due));
			this.outboxes.set(peer, outbox);
		}
		return outbox;
	}

	private flushTo(name: string, outbox: FleetOutbox): void {
		outbox.cancel();
		const bytes = this.writer.write({}, outbox);
		this.sendTo([name], bytes);
		if (outbox.hasEvents) {
			outbox.schedule(OWNER_NOTICE_DELAY_MS);
		}
	}

	/**
	 * Sends the heartbeat with the collected events, reports and usage to its regular receivers, and probes lost
	 * routers.
	 */
	private flushToAll(): void {
		const { broadcast, membership } = this;
		const { assignments, engines } = this.state;
		broadcast.cancel();
		const now = this.clock.now();
		this.lastBroadcastAt = now;
		const announcements = membership.announcements();
		const suspects = this.nextSuspects(now);
		if (!assignments.isLargeFleet) {
			const withUsage = this.isUsageDue(now);
			const bytes = this.writer.write({ withUsage, suspects }, broadcast);
			announcements.forEach(({ to }) => this.sendTo(to, bytes));
		} else {
			// Placements made before the fleet was known to be large are in the broadcast outbox too.
			if (broadcast.hasCrashes || broadcast.hasEvents) {
				this.sendTo(
					this.peers.filter(isServing).map(({ instance }) => instance),
					this.writer.write({}, broadcast),
				);
			}
			if (membership.isRelay) {
				this.flushAsRelay(announcements, suspects, now);
			} else {
				const reports = encodeReports(engines.ownedQueueReports(now));
				const content = { withUsage: true, reports, suspects };
				announcements.forEach(({ to, members }) => this.sendSplit(to, members, content, now));
			}
		}
		this.probeLostPeers(now);
		if (broadcast.hasEvents) {
			broadcast.schedule(MINIMUM_FLUSH_DELAY_MS);
		}
	}

	private flushAsRelay(
		[toDomain, toRelays]: readonly Announcement[],
		suspects: DatagramContent['suspects'],
		now: number,
	): void {
		const { engines, shares } = this.state;
		const owned = encodeReports(engines.ownedQueueReports(now));
		const relayed = this.reports.take();
		const sumOf = (scope: 'domain' | 'fleet', failureDomain: string): UsageSum | undefined =>
			shares.hasCompleteSources(now) ? { failureDomain, usage: [...shares.summedUsage(scope, now)] } : undefined;
		if (toDomain !== undefined) {
			const reports = [...owned, ...encodeRelayedReports(relayed, now)];
			this.sendSplit(
				toDomain.to,
				toDomain.members,
				{ withUsage: true, usageSum: sumOf('fleet', ''), reports, suspects },
				now,
			);
		}
		if (toRelays !== undefined) {
			const fromSameDomain = relayed.filter(({ isSameDomain }) => isSameDomain);
			const reports = [...owned, ...encodeRelayedReports(fromSameDomain, now)];
			const usageSum = sumOf('domain', this.identity.failureDomain);
			this.sendSplit(toRelays.to, toRelays.members, { usageSum, reports, suspects }, now);
		}
	}

	/** Sends a datagram, and further ones when the members do not fit into one. */
	private sendSplit(to: readonly string[], members: readonly FleetPeer[], content: DatagramContent, now: number): void {
		if (to.length === 0) {
			return;
		}
		for (let start = 0; start === 0 || start < members.length; start += MEMBERS_PER_DATAGRAM) {
			const part = members.slice(start, start + MEMBERS_PER_DATAGRAM).map((peer) => encodeMember(peer, now));
			this.sendTo(to, this.writer.write({ ...(start === 0 ? content : {}), members: part }));
		}
	}

	private isUsageDue(now: number): boolean {
		const { size } = this.membership.members;
		const intervalMs = Math.max(MINIMUM_USAGE_INTERVAL_MS, size * USAGE_INTERVAL_PER_PEER_MS);
		if (now - this.lastUsageAt < intervalMs) {
			return false;
		}
		this.lastUsageAt = now;
		return true;
	}

	private nextSuspects(now: number): DatagramContent['suspects'] {
		if (now - this.lastSuspectsAt < HEARTBEAT_INTERVAL_MS - TICK_INTERVAL_MS / 2) {
			return undefined;
		}
		this.lastSuspectsAt = now;
		return this.crashNotices.nextRepeated();
	}

	private probeLostPeers(now: number): void {
		if (now - this.lastProbeAt < LOST_PEER_PROBE_INTERVAL_MS) {
			return;
		}
		this.lastProbeAt = now;
		const names = this.membership.probeTargets();
		if (names.length > 0) {
			this.sendTo(names, this.writer.write({ replyRequested: true }));
		}
	}

	private sendTo(names: readonly string[], bytes: Uint8Array): void {
		for (const name of names) {
			const peer = this.membership.members.get(name);
			if (peer !== undefined) {
				this.send(bytes, peer.datagramAddress);
			}
		}
	}

	private send(bytes: Uint8Array, { host, port }: SocketAddress): void {
		this.sent++;
		// Errors are ignored; an unreachable peer is detected by its silence.
		this.socket.send(bytes, port, host, () => undefined);
	}

	/** An error in a datagram ends the handling of this datagram only. */
	private receive(bytes: Buffer, source: RemoteInfo): void {
		try {
			const datagram = RouterState.decode(bytes);
			if (hasValidNumbers(datagram)) {
				this.handleDatagram(datagram);
			} else {
				this.log.write('datagram-unreadable', { source: source.address, reason: 'numbers out of range' });
			}
		} catch (error) {
			this.log.write('datagram-unreadable', { source: source.address, reason: String(error) });
		}
	}

	private handleDatagram(datagram: RouterState): void {
		const now = this.clock.now();
		const sender = decodeSender(datagram, now, parseOptionalAddress);
		if (sender === undefined || sender.instance === this.identity.instance) {
			return;
		}
		const hadDirectContact = this.membership.members.hasDirectContact(sender);
		const direct = this.membership.recordDirect(sender);
		if (direct === 'outdated') {
			return;
		}
		const entries = datagram.members.flatMap((member) => decodeMember(member, now, parseOptionalAddress) ?? []);
		const updates = [...(direct === undefined ? [] : [direct]), ...this.membership.recordIndirect(entries, now)];
		this.applyUpdates(updates, sender.instance, now);
		this.received.apply(datagram, now);
		this.crashNotices.apply(datagram, now);
		this.handleReservations(datagram, now);
		datagram.answers.forEach((response) => this.reservationResponseEmitter.fire(response));
		this.peerUpdateEmitter.fire(sender);
		const isConsideredLost = entries.some(({ instance, lost }) => lost && instance === this.identity.instance);
		const isNewDomainPeer =
			!hadDirectContact && this.membership.isRelay && sender.failureDomain === this.identity.failureDomain;
		if (datagram.replyRequested || isConsideredLost || isNewDomainPeer) {
			this.reply(sender.instance, hadDirectContact, now);
		}
	}

	private reply(instance: string, hadDirectContact: boolean, now: number): void {
		const suspects = hadDirectContact ? undefined : this.crashNotices.nextRepeated();
		if (!this.state.assignments.isLargeFleet || hadDirectContact) {
			this.sendSplit([instance], [], { withUsage: !this.state.assignments.isLargeFleet, suspects }, now);
			if (!hadDirectContact) {
				this.sendEngineState(instance, now);
			}
			return;
		}
		this.sendSplit([instance], this.membership.membersForNewPeer(), { suspects }, now);
	}

	/**
	 * Sends a router of a small fleet that has just started what it needs to place prompts: the queued prompts of this
	 * router, the cached parts of all engines and the limits that servers name.
	 */
	private sendEngineState(instance: string, now: number): void {
		const { engines } = this.state;
		const limits = FleetOutbox.create(() => undefined);
		engines.requestLimits.forEach((report) => limits.addRequestLimit(report));
		if (limits.hasEvents) {
			this.sendTo([instance], this.writer.write({}, limits));
		}
		const notices = [...engines.pendingPlacements(), ...engines.cacheNotices(now)];
		for (let start = 0; start < notices.length; start += STATE_NOTICES_PER_DATAGRAM) {
			const outbox = FleetOutbox.create(() => undefined);
			notices.slice(start, start + STATE_NOTICES_PER_DATAGRAM).forEach((notice) => outbox.addPlacement(notice));
			this.sendTo([instance], this.writer.write({}, outbox));
		}
	}

	private handleReservations({ instance, failureDomain, reservations }: RouterState, now: number): void {
		if (reservations.length === 0) {
			return;
		}
		const outbox = this.getOutbox(instance);
		for (const encoded of reservations) {
			const request = decodeReservation(encoded, failureDomain);
			const isExceeded = this.isExceeded(request, now);
			const limits = isExceeded ? OVER_SHARE_LIMITS : {};
			const response = this.state.engines.reserve(instance, { ...request, ...limits }, now);
			if (response === undefined) {
				continue; // The peer decides on its own when it receives no response.
			}
			const { sequence, claim } = request;
			if (response.server !== undefined) {
				this.state.shares.recordPlacement(claim.account, claim.cost, now);
			} else {
				this.log.write('reservation-declined', {
					peer: instance,
					sequence,
					isExceeded,
					waitMs: Math.round(response.waitMs),
					memoryWaitMs: Math.round(response.memoryWaitMs ?? 0),
					limitMs: Math.round(request.limitMs),
					maximumLoad: request.maximumLoad,
					servers: response.reports.size,
				});
			}
			outbox.addAnswer(sequence, response, isExceeded && response.server === undefined);
		}
		this.flushTo(instance, outbox);
	}

	private isExceeded({ claim, service }: ReservationRequest, now: number): boolean {
		const { engines, shares } = this.state;
		return claim.cost > 0 && shares.isOverShareAtQueueOwner(claim.account, engines.ownedQueueFraction(service), now);
	}

	private applyUpdates(updates: readonly MemberUpdate[], source: string, now: number): void {
		if (updates.length === 0) {
			return;
		}
		for (const { peer, change } of updates) {
			if (change === 'restarted' || change === 'lost') {
				this.state.engines.removeRouter(peer.instance, now);
				this.state.shares.removePeer(peer.instance);
			}
		}
		this.logUpdates(updates, source);
		if (updates.some(({ change }) => change !== 'contact' && change !== 'rotation')) {
			this.updateAssignments(now);
		}
		if (this.state.assignments.isLargeFleet && this.membership.members.hasPendingUpdates) {
			this.broadcast.schedule(MEMBER_UPDATE_DELAY_MS);
		}
	}

	// A new queue owner receives the content of the queue from the routers that placed the requests.
	private updateAssignments(now: number): void {
		const { assignments, engines } = this.state;
		const { members } = this.membership;
		const serving = members.all.filter(isServing);
		const hasMoved = assignments.setRouters(
			serving.map(({ instance }) => instance),
			members.size + 1,
		);
		this.updateRelays(now);
		if (!hasMoved) {
			return;
		}
		engines
			.pendingPlacements()
			.forEach((notice) => this.notifyQueueOwner(notice.server, (outbox) => outbox.addPlacement(notice)));
		for (const [server, requests] of engines.ownInProgress()) {
			if (requests > 0) {
				this.notifyQueueOwner(server, (outbox) => outbox.addEnd({ server, outcome: undefined }));
			}
		}
		engines.leaving.forEach((notice) => this.notifyQueueOwner(notice.server, (outbox) => outbox.addLeaving(notice)));
	}

	private updateRelays(now: number): void {
		const { membership, state } = this;
		const { isLargeFleet } = state.assignments;
		membership.setLarge(isLargeFleet, now);
		const { isRelay } = membership;
		if (isRelay === this.wasRelay && isLargeFleet === this.wasLarge) {
			return;
		}
		this.wasRelay = isRelay;
		this.wasLarge = isLargeFleet;
		state.shares.discardRemoteUsage(now);
		this.reports.take();
		this.log.write('relay-role', { isRelay, isLargeFleet, relays: membership.relaySelection.ownRelays.join(' ') });
	}

	/** The monotonic clock may not count the time for which the process stood still; the time of day does. */
	private hasStoodStill(now: number): boolean {
		return Math.abs(Date.now() - now - this.clockOffsetMs) > STANDSTILL_THRESHOLD_MS;
	}

	private tick(): void {
		const now = this.clock.now();
		if (this.hasStoodStill(now)) {
			this.stoodStillUntil = now;
			this.clockOffsetMs = Date.now() - now;
		}
		const { updates, removed } = this.membership.tick(now);
		for (const instance of removed) {
			this.outboxes.get(instance)?.cancel();
			this.outboxes.delete(instance);
		}
		this.applyUpdates(updates, this.identity.instance, now);
		this.heard = this.routerCount / (1 + this.peers.filter(({ leaving }) => !leaving).length);
		updates.forEach(({ peer }) => this.peerUpdateEmitter.fire(peer));
		if (removed.length > 0) {
			this.updateAssignments(now);
		}
		this.updateRelays(now);
		const { isLargeFleet } = this.state.assignments;
		if (isLargeFleet) {
			this.state.engines
				.heldTokensReportsDue(now)
				.forEach((server) => this.notifyQueueOwner(server, (outbox) => outbox.addEnd({ server, outcome: undefined })));
		}
		const heartbeatMs = isLargeFleet && !this.membership.isRelay ? HEARTBEAT_INTERVAL_MS : TICK_INTERVAL_MS;
		if (now - this.lastBroadcastAt >= heartbeatMs - TICK_INTERVAL_MS / 2) {
			this.flushToAll();
		}
	}

	// Many routers can change at once, so one line lists all changes of one kind that result from a datagram or tick.
	private logUpdates(updates: readonly MemberUpdate[], source: string): void {
		const byChange = new Map<string, FleetPeer[]>();
		for (const { peer, change } of updates) {
			byChange.set(change, [...(byChange.get(change) ?? []), peer]);
		}
		for (const [change, peers] of byChange) {
			this.log.write(`peer-${change}`, {
				peers: peers.map(({ instance, incarnation }) => `${instance}:${incarnation}`).join(' '),
				source,
			});
		}
	}
}

const parseOptionalAddress: AddressParser = (text) => parseRemoteAddress(text).unwrapOr(undefined);
