import type { EngineReport } from '../../engines/common/engineState.js';
import type { ServerLoadReport } from '../../engines/common/serverLoad.js';
import { shortKey } from '../../base/common/shortKey.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import type { FleetPeer } from './fleetPeer.js';
import * as wire from './generated/masticloom/fleet/v1/fleet.js';
import type { RelayedReport } from './reportBuffer.js';
import { toWireCount } from './wireCount.js';

/** Parses an address in a message; returns undefined when it is invalid. */
export type AddressParser = (text: string) => SocketAddress | undefined;

/**
 * @param contactSince monotonic milliseconds since which a router has read the registrations
 * @param now monotonic milliseconds
 * @returns milliseconds since then plus 1, as sent in datagrams; 0 when undefined
 */
export function encodeStoreContact(contactSince: number | undefined, now: number): number {
	return contactSince === undefined ? 0 : toWireCount(1 + Math.max(0, now - contactSince));
}

/**
 * @param peer a router
 * @param now monotonic milliseconds
 * @returns the entry about it that other routers receive
 */
export function encodeMember(peer: FleetPeer, now: number): wire.Member {
	return {
		instance: peer.instance,
		incarnation: peer.incarnation,
		sequence: peer.sequence,
		failureDomain: peer.failureDomain,
		peerAddress: formatAddress(peer.peerAddress),
		datagramAddress: formatAddress(peer.datagramAddress),
		leaving: peer.leaving,
		relieved: peer.isRelieved,
		storeContactMs: encodeStoreContact(peer.contactSince, now),
		ageMs: toWireCount(now - peer.heardAt),
		lost: peer.lost,
	};
}

/**
 * @param member entry received from another router
 * @param now monotonic milliseconds
 * @param parseAddress parses its addresses
 * @returns the router; undefined when the entry lacks a name or a valid address
 */
export function decodeMember(member: wire.Member, now: number, parseAddress: AddressParser): FleetPeer | undefined {
	const peerAddress = parseAddress(member.peerAddress);
	const datagramAddress = parseAddress(member.datagramAddress);
	if (member.instance === '' || peerAddress === undefined || datagramAddress === undefined) {
		return undefined;
	}
	return {
		instance: member.instance,
		incarnation: member.incarnation,
		sequence: member.sequence,
		failureDomain: member.failureDomain,
		peerAddress,
		datagramAddress,
		leaving: member.leaving,
		isRelieved: member.relieved,
		heardAt: now - member.ageMs,
		followedRevisions: [],
		contactSince: member.storeContactMs > 0 ? now - member.storeContactMs : undefined,
		lost: member.lost,
	};
}

/**
 * @param sender a received datagram
 * @param now monotonic milliseconds
 * @param parseAddress parses its addresses
 * @returns the sender; undefined when the datagram lacks a name or a valid address
 */
export function decodeSender(
	sender: wire.RouterState,
	now: number,
	parseAddress: AddressParser,
): FleetPeer | undefined {
	const peer = decodeMember({ ...sender, ageMs: 0, lost: false }, now, parseAddress);
	return peer && { ...peer, followedRevisions: sender.followedRevisions };
}

/**
 * @param engine short key of a server
 * @param report its state
 * @param ageMs milliseconds since the queue owner reported it
 * @returns the encoded report
 */
export function encodeReport(engine: number, report: EngineReport, ageMs = 0): wire.EngineReport {
	return {
		engine,
		waitMs: toWireCount(report.waitMs),
		pace: report.pace,
		// A finite value beyond the range of the field cannot be encoded.
		load: Math.fround(report.load),
		inProgress: toWireCount(report.inProgress),
		failureRate: report.failureRate,
		suspendedMs: toWireCount(report.suspendedMs),
		ageMs: toWireCount(ageMs),
		requestsPerSecond: report.requestsPerSecond,
		remainingFraction: report.remainingFraction,
		heldTokens: report.heldTokens === undefined ? undefined : toWireCount(report.heldTokens),
		workTime: report.workTime,
		waiting: report.waiting === undefined ? undefined : toWireCount(report.waiting),
	};
}

/**
 * @param report load that a server has reported to this router
 * @param now monotonic milliseconds
 * @returns the encoded load
 */
export function encodeLoad(
	{ server, startedAt = 0, load, slotTimeMs, at }: ServerLoadReport,
	now: number,
): wire.EngineOutcome {
	const { running, waiting, slots, workTime } = load;
	return {
		engine: shortKey(server),
		outcome: wire.Outcome.OUTCOME_LOAD,
		startedAt,
		requestsPerSecond: 0,
		load: { running, waiting, slots, workTime, slotTimeMs, ageMs: toWireCount(now - at) },
	};
}

/**
 * @param outcome as received, with a load
 * @param now monotonic milliseconds
 * @returns the load that a server has reported to a peer; undefined when the message has none
 */
export function decodeLoad(
	{ startedAt, load }: wire.EngineOutcome,
	now: number,
): Omit<ServerLoadReport, 'server'> | undefined {
	if (load === undefined) {
		return undefined;
	}
	const { ageMs, running, waiting, slots, workTime, slotTimeMs } = load;
	const figures = { running, waiting, slots, workTime };
	return { startedAt: startedAt === 0 ? undefined : startedAt, load: figures, slotTimeMs, at: now - ageMs };
}

/**
 * @param reports received from queue owners
 * @param now monotonic milliseconds
 * @returns the encoded reports, with their present age
 */
export function encodeRelayedReports(reports: readonly RelayedReport[], now: number): wire.EngineReport[] {
	return reports.map(({ engine, report, reportedAt }) => encodeReport(engine, report, now - reportedAt));
}

/**
 * @param state a received datagram
 * @returns whether the floating-point numbers of its reports and usage are finite and not negative
 */
export function hasValidNumbers({ reports, usage, usageSum, outcomes }: wire.RouterState): boolean {
	const numbers = [
		...reports.flatMap(({ pace, load, failureRate }) => [pace, load, failureRate]),
		...[...reports, ...outcomes].map(({ requestsPerSecond = 0 }) => requestsPerSecond),
		...reports.flatMap(({ remainingFraction = 0, workTime = 0 }) => [remainingFraction, workTime]),
		...outcomes.flatMap(({ load }) => [load?.workTime ?? 0, load?.slotTimeMs ?? 0]),
		...[...usage, ...(usageSum?.usage ?? [])].flatMap(({ offered, admitted }) => [offered, admitted]),
	];
	return numbers.every((number) => Number.isFinite(number) && number >= 0);
}
