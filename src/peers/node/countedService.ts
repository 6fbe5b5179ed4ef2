import * as grpc from '@grpc/grpc-js';
import { PeerFrame, PeerServiceClient, PeerServiceService } from '../common/generated/masticloom/peers/v1/peers.js';

/** Header of an HTTP/2 data frame and of a gRPC message. */
const FRAME_OVERHEAD_BYTES = 9 + 5;

/** Frames that this router sent to peers since its start. */
export interface PeerTraffic {
	messages: number;
	/** With the headers of the frames, without those of TCP and TLS. */
	bytes: number;
}

/** Definition and client of the peer service that count what is sent. */
export interface CountedService {
	readonly definition: typeof PeerServiceService;
	readonly client: typeof PeerServiceClient;
}

/**
 * Counts where frames are serialised, so that they are not encoded a second time for it.
 *
 * @param traffic where to count
 * @returns the peer service
 */
export function createCountedService(traffic: PeerTraffic): CountedService {
	const serialize = (frame: PeerFrame): Buffer => {
		const bytes = Buffer.from(PeerFrame.encode(frame).finish());
		traffic.messages++;
		traffic.bytes += bytes.length + FRAME_OVERHEAD_BYTES;
		return bytes;
	};
	const connect = { ...PeerServiceService.connect, requestSerialize: serialize, responseSerialize: serialize };
	const definition = { ...PeerServiceService, connect };
	const client = grpc.makeGenericClientConstructor(definition, PeerServiceClient.serviceName);
	return { definition, client: client as unknown as typeof PeerServiceClient };
}
