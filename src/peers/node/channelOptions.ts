import type { ChannelOptions } from '@grpc/grpc-js';

// A configuration of 19,000 accounts with two tokens each exceeds the library's default of 4 MiB.
const MAXIMUM_MESSAGE_BYTES = 67_108_864;

/**
 * Options of all channels to peers. Each attempt uses a separate connection, so that the backoff of gRPC channels does
 * not delay the next attempt.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_retries': 0,
	'grpc.enable_http_proxy': 0,
	'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
};
