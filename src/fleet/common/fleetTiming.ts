/** Events are sent to peers together after this time; at the sizes of today a peer has one event in 30 ms. */
export const MINIMUM_FLUSH_DELAY_MS = 10;

/** Delay for each peer that events are sent to, so that a router sends some 350 datagrams a second at most. */
export const FLUSH_DELAY_PER_PEER_MS = 3;

/** First events and ends are told to the keeper of a queue together after this time: a tenth of a short prompt's wait. */
export const OWNER_NOTICE_DELAY_MS = 15;

/**
 * A keeper answers within two trips of a millisecond and one turn of its event loop. Processes that have used up their
 * share of a core are late by up to 70 ms, which is longer than deciding by an older report costs.
 */
export const RESERVATION_TIMEOUT_MS = 40;

/** Usage of accounts changes over a window of seconds. */
export const MINIMUM_USAGE_INTERVAL_MS = 200;
export const USAGE_INTERVAL_PER_PEER_MS = 14;

/** News of routers is told together after this time, since many are lost or come back at the same moment. */
export const MEMBER_UPDATE_DELAY_MS = 40;

/** A relay that has been silent for this long, three of its intervals, is passed over. */
export const RELAY_TIMEOUT_MS = 800;

/** Relays tell of each router once within this time, so that news that was lost on its way is told again. */
export const MEMBER_REFRESH_PERIOD_MS = 2_000;

/** A router that nobody tells of for this long, four turns, is lost. */
export const INDIRECT_TIMEOUT_MS = 8_000;

/** A timer that is late by this much has kept the router from hearing others, whose silence then says nothing. */
export const LATE_TICK_THRESHOLD_MS = 400;

/** Lost and silent routers that are sent to at a time. */
export const MAXIMUM_PROBED_PEERS = 16;

/** Entries of a datagram about other routers; more are split, since a large datagram is lost when one of its pieces is. */
export const MEMBERS_PER_DATAGRAM = 30;

/** Without anything else to say, a router shows this often that it lives. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** A peer that was not heard of for this long is lost: three heartbeats. */
export const PEER_TIMEOUT_MS = 1_600;

/** A lost peer is still sent to for this long, because it may be cut off. */
export const LOST_PEER_RETENTION_MS = 120_000;
export const LOST_PEER_PROBE_INTERVAL_MS = 1_000;

/** News of a peer is waited for this long at the store before the peer is asked; a change reaches all within it. */
export const SNAPSHOT_FETCH_DELAY_MS = 150;

/** A peer is asked for what it knows at most this often. */
export const SNAPSHOT_FETCH_INTERVAL_MS = 300;
export const SNAPSHOT_FETCH_TIMEOUT_MS = 800;
