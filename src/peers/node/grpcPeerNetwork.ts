import { randomBytes } from 'node:crypto';
import * as grpc from '@grpc/grpc-js';
import { Effect } from 'effect';
import { Emitter } from '../../base/common/event.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { getLogger } from '../../base/node/log.js';
import {
	type FetchConfigurationRequest,
	type FetchConfigurationResponse,
	type PeerFrame,
	type PeerServiceClient,
} from '../common/generated/masticloom/peers/v1/peers.js';
import type {
	IPeerNetwork,
	PeerEndpoint,
	PeerFrameParts,
	PeerMessage,
	PeerState,
	PeerStatus,
} from '../common/peerNetwork.js';
import type { PeerSecurity } from './peerSecurity.js';
import { CHANNEL_OPTIONS } from './channelOptions.js';
import { createPeerRecord, type PeerRecord, stopDialer, toStatus } from './peerRecord.js';
import { isConnectionRefused } from './probe.js';
import { PeerSession, type SessionEnd } from './peerSession.js';
import { PeerTraffic } from './peerTraffic.js';

const RECONNECT_DELAY_MS = 200;
/** Time for a new process at a dead peer's address to open the stream itself before this router opens it. */
const REPLACEMENT_DIAL_DELAY_MS = 1_000;
const FETCH_TIMEOUT_MS = 2_000;
const INCARNATION_BYTES = 8;

const log = getLogger('peers');

type AuthenticatedCall = Pick<grpc.ServerDuplexStream<PeerFrame, PeerFrame>, 'getAuthContext' | 'getPeer'>;

/** Options of a peer network. */
export interface PeerNetworkOptions extends PeerSecurity {
	readonly instance: string;
	readonly failureDomain: string;
	/** `host:port` to listen on */
	readonly address: string;
	/** Returns the response to a peer that requests the configuration. */
	readonly serveConfiguration: (request: FetchConfigurationRequest) => FetchConfigurationResponse;
}

/** Peer network over gRPC. The router with the lower instance name opens the stream between two routers. */
export class GrpcPeerNetwork extends Disposable implements IPeerNetwork {
	private readonly records = new Map<string, PeerRecord>();
	private readonly changeEmitter = this.register(Emitter.create<PeerStatus>());
	private readonly receiveEmitter = this.register(Emitter.create<PeerMessage>());
	private readonly server = new grpc.Server();
	private configurationVersion = 0;
	private leaving = false;

	/** Counters of messages to and from peers since the start. */
	public readonly traffic = PeerTraffic.create();
	public readonly onDidChangePeer = this.changeEmitter.event;
	public readonly onDidReceive = this.receiveEmitter.event;
	/** Random identifier of this process. */
	public readonly incarnation = randomBytes(INCARNATION_BYTES).toString('hex');

	private constructor(private readonly options: PeerNetworkOptions) {
		super();
		this.register(toDisposable(() => this.server.forceShutdown()));
		this.register(toDisposable(() => this.stopAllDialers()));
	}

	/**
	 * @param options name, address and credentials of this router
	 * @returns a network that does not listen yet
	 */
	public static create(options: PeerNetworkOptions): GrpcPeerNetwork {
		return new GrpcPeerNetwork(options);
	}

	/**
	 * Starts to accept streams.
	 *
	 * @returns the port that was bound
	 * @throws Error when the address cannot be bound
	 */
	public listen(): Promise<number> {
		this.server.addService(this.traffic.service, {
			connect: (stream: grpc.ServerDuplexStream<PeerFrame, PeerFrame>) => this.accept(stream),
			fetchConfiguration: (
				call: grpc.ServerUnaryCall<FetchConfigurationRequest, FetchConfigurationResponse>,
				reply: grpc.sendUnaryData<FetchConfigurationResponse>,
			) => {
				const refusal = this.checkCall(call, undefined);
				if (refusal !== undefined) {
					reply(refusal);
					return;
				}
				reply(null, this.options.serveConfiguration(call.request));
			},
		});
		return new Promise((resolve, reject) => {
			this.server.bindAsync(this.options.address, this.options.serverCredentials(), (error, port) => {
				if (error) {
					reject(error);
					return;
				}
				resolve(port);
			});
		});
	}

	public send(instance: string, parts: PeerFrameParts): boolean {
		const record = this.records.get(instance);
		if (record?.session === undefined || record.state !== 'connected') {
			return false;
		}
		record.session.post(parts);
		return true;
	}

	public peers(): readonly PeerStatus[] {
		return [...this.records.values()].map(toStatus);
	}

	public setEndpoints(endpoints: readonly PeerEndpoint[]): void {
		const wanted = new Map(endpoints.map((endpoint) => [endpoint.instance, endpoint]));
		for (const [instance, record] of this.records) {
			// A connected peer that is no longer listed is kept until its stream ends, since the list is updated with a delay.
			if (!wanted.has(instance) && record.state !== 'connected') {
				this.records.delete(instance);
				stopDialer(record);
			}
		}
		for (const endpoint of wanted.values()) {
			const record = this.getOrCreateRecord(endpoint.instance);
			const hasMoved = record.endpoint.address !== endpoint.address;
			record.endpoint = endpoint;
			if (this.shouldDial(endpoint) && (record.dialer === undefined || hasMoved)) {
				stopDialer(record);
				record.dialer = Effect.runFork(this.dialForever(record));
			}
		}
	}

	public announce(announcement: { readonly configurationVersion?: number; readonly leaving?: boolean }): void {
		this.configurationVersion = announcement.configurationVersion ?? this.configurationVersion;
		this.leaving = announcement.leaving ?? this.leaving;
		for (const record of this.records.values()) {
			record.session?.post(this.heartbeat());
		}
	}

	/**
	 * Fetches the configuration of a peer.
	 *
	 * @param instance name of the peer
	 * @param haveVersion version that this router has; 0 for none
	 * @returns the peer's response; fails with a message when there is none within the time limit
	 */
	public fetchConfiguration(
		instance: string,
		haveVersion: number,
	): Effect.Effect<FetchConfigurationResponse, { readonly message: string }> {
		return Effect.callback((resume) => {
			const record = this.records.get(instance);
			if (record === undefined) {
				resume(Effect.fail({ message: `${instance} is not a known peer` }));
				return undefined;
			}
			const client = this.openClient(record.endpoint);
			client.fetchConfiguration(
				{ haveVersion },
				new grpc.Metadata(),
				{ deadline: Date.now() + FETCH_TIMEOUT_MS },
				(error, response) => {
					client.close();
					resume(error ? Effect.fail({ message: error.message }) : Effect.succeed(response));
				},
			);
			return Effect.sync(() => client.close());
		});
	}

	private dialForever(record: PeerRecord): Effect.Effect<never> {
		const self = this;
		return Effect.gen(function* () {
			for (;;) {
				const client = self.openClient(record.endpoint);
				const end = yield* Effect.ensuring(
					Effect.suspend(() => self.runSession(client.connect(), record)),
					Effect.sync(() => client.close()),
				);
				if (record.state === 'connected') {
					self.finishSession(record, end);
				} else {
					self.finishAttempt(record, end.reason === 'reset');
				}
				yield* Effect.sleep(RECONNECT_DELAY_MS);
			}
		});
	}

	private openClient({ address, instance }: PeerEndpoint): PeerServiceClient {
		// TLS verifies the certificate of the called router against this name instead of its IP address.
		const options = { ...CHANNEL_OPTIONS, 'grpc.ssl_target_name_override': instance };
		return new this.traffic.Client(address, this.options.clientCredentials(), options);
	}

	private runSession(
		stream: grpc.ClientDuplexStream<PeerFrame, PeerFrame>,
		record: PeerRecord,
	): Effect.Effect<SessionEnd> {
		const session = PeerSession.create(stream, () => this.heartbeat());
		session.post(this.hello());
		const handle = (frame: PeerFrame): void => this.handleFrame(record, session, frame);
		return Effect.ensuring(
			session.run(handle),
			Effect.sync(() => stream.cancel()),
		);
	}

	private accept(stream: grpc.ServerDuplexStream<PeerFrame, PeerFrame>): void {
		const session = PeerSession.create(stream, () => this.heartbeat());
		let record: PeerRecord | undefined;
		const handle = (frame: PeerFrame): void => {
			if (record === undefined && frame.hello !== undefined) {
				const refusal = this.checkCall(stream, frame.hello.instance);
				if (refusal !== undefined) {
					stream.emit('error', refusal);
					return;
				}
				if (frame.hello.instance === this.options.instance) {
					log.warn(`Refused ${stream.getPeer()}, which uses the instance name of this router.`);
					stream.end();
					return;
				}
				record = this.getOrCreateRecord(frame.hello.instance);
				session.post(this.hello());
			}
			if (record !== undefined) {
				this.handleFrame(record, session, frame);
			}
		};
		const program = Effect.map(session.run(handle), (end) => {
			stream.end();
			if (record?.session === session) {
				this.finishSession(record, end);
			}
		});
		Effect.runFork(program);
	}

	private checkCall(call: AuthenticatedCall, instance: string | undefined): grpc.ServerErrorResponse | undefined {
		const reason = this.options.checkPeer(call.getAuthContext().sslPeerCertificate, instance);
		if (reason === undefined) {
			return undefined;
		}
		log.warn(`Refused a call from ${call.getPeer()}: ${reason}.`);
		return Object.assign(new Error(reason), { code: grpc.status.PERMISSION_DENIED, details: reason });
	}

	private handleFrame(record: PeerRecord, session: PeerSession, frame: PeerFrame): void {
		if (frame.hello !== undefined) {
			this.startSession(record, session, frame.hello);
		}
		if (record.session !== session) {
			return;
		}
		if (frame.heartbeat !== undefined) {
			this.handleHeartbeat(record, frame.heartbeat);
		}
		this.receiveEmitter.fire({ instance: record.endpoint.instance, incarnation: record.incarnation, frame });
	}

	private startSession(record: PeerRecord, session: PeerSession, hello: NonNullable<PeerFrame['hello']>): void {
		const previous = record.session;
		record.session = session;
		record.sessionCount++;
		record.refused = false;
		if (previous !== undefined && previous !== session) {
			previous.endAsReplaced();
		}
		record.state = 'connected';
		record.incarnation = hello.incarnation;
		record.failureDomain = hello.failureDomain;
		record.leaving = false;
		if (record.endpoint.address === '') {
			record.endpoint = { instance: hello.instance, address: hello.address };
		}
		log.debug(`Connected to ${hello.instance}.`);
		session.post(this.heartbeat());
		this.changeEmitter.fire(toStatus(record));
	}

	private handleHeartbeat(record: PeerRecord, heartbeat: NonNullable<PeerFrame['heartbeat']>): void {
		const changed =
			record.configurationVersion !== heartbeat.configurationVersion || record.leaving !== heartbeat.leaving;
		record.configurationVersion = heartbeat.configurationVersion;
		record.leaving = heartbeat.leaving;
		if (changed) {
			this.changeEmitter.fire(toStatus(record));
		}
	}

	/** Records the end of an open stream. */
	private finishSession(record: PeerRecord, end: SessionEnd): void {
		record.session = undefined;
		record.refused = false;
		log.info(`Lost ${record.endpoint.instance}: ${end.message}.`);
		this.setState(record, end.reason === 'silent' ? 'silent' : 'gone');
		if (!this.shouldDial(record.endpoint) && record.endpoint.address !== '') {
			Effect.runFork(this.probe(record));
		}
	}

	/** Records an attempt that opened no stream. An error shows that no process listens; a timeout shows nothing. */
	private finishAttempt(record: PeerRecord, refused: boolean): void {
		const changed = record.refused !== refused;
		record.refused = refused;
		this.setState(record, refused ? 'gone' : 'silent', changed);
	}

	private setState(record: PeerRecord, state: PeerState, changed = false): void {
		if (record.state !== state || changed) {
			record.state = state;
			this.changeEmitter.fire(toStatus(record));
		}
	}

	/**
	 * Determines whether a peer that opens the stream itself is dead or only unreachable. Opens the stream to a process
	 * that replaced a dead one and does not connect itself: it may have no peers while the instance list is unavailable.
	 */
	private probe(record: PeerRecord): Effect.Effect<void> {
		const self = this;
		const { sessionCount } = record;
		const isSuperseded = (): boolean =>
			record.sessionCount !== sessionCount || self.records.get(record.endpoint.instance) !== record;
		return Effect.gen(function* () {
			let acceptingMs = 0;
			for (;;) {
				yield* Effect.sleep(RECONNECT_DELAY_MS);
				const refused = isSuperseded() || (yield* isConnectionRefused(record.endpoint.address));
				if (isSuperseded()) {
					return;
				}
				if (refused && !record.refused) {
					self.finishAttempt(record, true);
				}
				acceptingMs = refused ? 0 : acceptingMs + RECONNECT_DELAY_MS;
				if (record.refused && acceptingMs >= REPLACEMENT_DIAL_DELAY_MS) {
					return yield* self.dialOnce(record);
				}
			}
		});
	}

	private dialOnce(record: PeerRecord): Effect.Effect<void> {
		const client = this.openClient(record.endpoint);
		const session = Effect.ensuring(
			Effect.suspend(() => this.runSession(client.connect(), record)),
			Effect.sync(() => client.close()),
		);
		return Effect.map(session, (end) => {
			// A session is replaced when the peer has opened a newer one, so the peer is still connected.
			if (end.reason !== 'replaced') {
				this.finishSession(record, end);
			}
		});
	}

	private shouldDial(endpoint: PeerEndpoint): boolean {
		return this.options.instance < endpoint.instance;
	}

	private getOrCreateRecord(instance: string): PeerRecord {
		let record = this.records.get(instance);
		if (record === undefined) {
			record = createPeerRecord(instance);
			this.records.set(instance, record);
		}
		return record;
	}

	private hello(): PeerFrameParts {
		const { instance, failureDomain, address } = this.options;
		return { hello: { instance, failureDomain, address, incarnation: this.incarnation } };
	}

	private heartbeat(): PeerFrameParts {
		return { heartbeat: { configurationVersion: this.configurationVersion, leaving: this.leaving } };
	}

	private stopAllDialers(): void {
		for (const record of this.records.values()) {
			stopDialer(record);
		}
		this.records.clear();
	}
}
