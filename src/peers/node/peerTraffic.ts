import * as grpc from '@grpc/grpc-js';
import { type PeerServiceClient, PeerServiceService } from '../common/generated/masticloom/peers/v1/peers.js';

// Each message has a prefix of 5 bytes (gRPC) in a data frame with a header of 9 bytes (HTTP/2).
const MESSAGE_OVERHEAD_BYTES = 14;

type Serializer<T> = (value: T) => Buffer;
type Deserializer<T> = (bytes: Buffer) => T;

interface Codec<Request, Response> {
	readonly requestSerialize: Serializer<Request>;
	readonly requestDeserialize: Deserializer<Request>;
	readonly responseSerialize: Serializer<Response>;
	readonly responseDeserialize: Deserializer<Response>;
}

type PeerClientConstructor = new (
	address: string,
	credentials: grpc.ChannelCredentials,
	options: grpc.ChannelOptions,
) => PeerServiceClient;

/** Counts the messages between routers and their bytes, without TCP, TLS and HTTP/2 control frames. */
export class PeerTraffic {
	private readonly sent = { messages: 0, bytes: 0 };
	private readonly received = { messages: 0, bytes: 0 };

	/** The peer service, with its messages counted. */
	public readonly service: typeof PeerServiceService;
	/** Client of the peer service, with its messages counted. */
	public readonly Client: PeerClientConstructor;

	private constructor() {
		const { connect, fetchConfiguration } = PeerServiceService;
		this.service = {
			connect: { ...connect, ...this.countCodec(connect) },
			fetchConfiguration: { ...fetchConfiguration, ...this.countCodec(fetchConfiguration) },
		};
		this.Client = grpc.makeGenericClientConstructor(this.service, 'PeerService') as unknown as PeerClientConstructor;
	}

	/** @returns counters at zero */
	public static create(): PeerTraffic {
		return new PeerTraffic();
	}

	public get sentMessages(): number {
		return this.sent.messages;
	}

	public get sentBytes(): number {
		return this.sent.bytes;
	}

	public get receivedMessages(): number {
		return this.received.messages;
	}

	public get receivedBytes(): number {
		return this.received.bytes;
	}

	private countCodec<Request, Response>(method: Codec<Request, Response>): Codec<Request, Response> {
		return {
			requestSerialize: this.countSent(method.requestSerialize),
			requestDeserialize: this.countReceived(method.requestDeserialize),
			responseSerialize: this.countSent(method.responseSerialize),
			responseDeserialize: this.countReceived(method.responseDeserialize),
		};
	}

	private countSent<T>(serialize: Serializer<T>): Serializer<T> {
		return (value) => {
			const bytes = serialize(value);
			this.sent.messages++;
			this.sent.bytes += bytes.length + MESSAGE_OVERHEAD_BYTES;
			return bytes;
		};
	}

	private countReceived<T>(deserialize: Deserializer<T>): Deserializer<T> {
		return (bytes) => {
			this.received.messages++;
			this.received.bytes += bytes.length + MESSAGE_OVERHEAD_BYTES;
			return deserialize(bytes);
		};
	}
}
