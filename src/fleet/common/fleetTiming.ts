/** Events for peers are collected for at least this long; at present fleet sizes a peer has one event every 30 ms. */
export const MINIMUM_FLUSH_DELAY_MS = 10;

/**
 * Events are collected for this long multiplied by the number of peers, which limits a router to about 350 datagrams a
 * second.
 */
export const FLUSH_DELAY_PER_PEER_MS = 3;

/** Notices for a queue owner are collected for this long, which is a tenth of the wait of a short prompt. */
export const OWNER_NOTICE_DELAY_MS = 15;

/**
 * Longest wait for the response of a queue owner, which normally takes two network trips of 1 ms and one turn of its
 * event loop. A process that has used up its share of a CPU core responds up to 70 ms late; waiting for it costs more
 * than deciding by an older report.
 */
export const RESERVATION_TIMEOUT_MS = 40;

/** Minimum interval at which the usage of accounts is sent; usage is measured over a window of one second. */
export const MINIMUM_USAGE_INTERVAL_MS = 200;
/** The usage of accounts is sent at this interval multiplied by the number of peers, if that is longer. */
export const USAGE_INTERVAL_PER_PEER_MS = 14;

/** Membership updates are collected for this long, since many routers are lost or restart at the same time. */
export const MEMBER_UPDATE_DELAY_MS = 40;

/** A relay that has sent nothing for this long, three of its send intervals, is skipped when relays are selected. */
export const RELAY_TIMEOUT_MS = 800;

/** Period in which a relay sends the entry of every router once, which makes up for updates lost on the way. */
export const MEMBER_REFRESH_PERIOD_MS = 2_000;

/** A router that no other router has reported for this long, four refresh periods, is considered lost. */
export const INDIRECT_TIMEOUT_MS = 8_000;

/**
 * When a tick is this late, the router could not receive datagrams in the meantime, so the silence of its peers does
 * not show that they are lost.
 */
export const LATE_TICK_THRESHOLD_MS = 400;

/**
 * Number of lost and silent routers that are probed at a time; of more, a random selection of this mean size is
 * probed.
 */
export const MAXIMUM_PROBED_PEERS = 16;

/**
 * Maximum number of entries about other routers in a datagram. More are split over several datagrams, since a
 * fragmented datagram is lost with any of its fragments.
 */
export const MEMBERS_PER_DATAGRAM = 30;

/** Interval at which a router sends a datagram even when it has nothing else to send. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Routers that were heard within this time are in touch; a heartbeat may be late. */
export const IN_STEP_MS = 600;

/** A larger difference between the time of day and the monotonic clock shows that the process stood still. */
export const STANDSTILL_THRESHOLD_MS = 100;

/** A peer that has sent nothing for this long, three heartbeats, is lost. */
export const PEER_TIMEOUT_MS = 1_600;

/** A lost peer is still probed for this long, because it may only be cut off from the network. */
export const LOST_PEER_RETENTION_MS = 120_000;
export const LOST_PEER_PROBE_INTERVAL_MS = 1_000;

/**
 * A router that can read the store waits this long for a change that a peer has already, before it fetches a snapshot
 * from the peer. A change in the store reaches all routers that read the store within this time.
 */
export const SNAPSHOT_FETCH_DELAY_MS = 150;

/** Minimum interval between snapshot fetches for a prefix. */
export const SNAPSHOT_FETCH_INTERVAL_MS = 300;
export const SNAPSHOT_FETCH_TIMEOUT_MS = 800;
