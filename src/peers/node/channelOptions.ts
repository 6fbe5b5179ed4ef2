import type { ChannelOptions } from '@grpc/grpc-js';

// The library's 4 MiB are less than a configuration of 19,000 accounts with two tokens each.
const MAXIMUM_MESSAGE_BYTES = 67_108_864;

/**
 * Options of every channel to a peer. Each attempt uses its own connection, so that the channel's own backoff does not
 * delay the next one.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_retries': 0,
	'grpc.enable_http_proxy': 0,
	'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
};
