import type { EngineReport } from '../../engines/common/engineState.js';
import { formatAddress, type SocketAddress } from '../../settings/common/settings.js';
import type { FleetPeer } from './fleetPeer.js';
import type * as wire from './generated/masticloom/fleet/v1/fleet.js';
import type { RelayedReport } from './reportBuffer.js';

/** Reads an address of a message; undefined when it is none. */
export type AddressParser = (text: string) => SocketAddress | undefined;

/**
 * @param contactSince monotonic milliseconds since which a router has read the registrations
 * @param now monotonic milliseconds
 * @returns the time as it is sent
 */
export function encodeStoreContact(contactSince: number | undefined, now: number): number {
	return contactSince === undefined ? 0 : 1 + Math.max(0, Math.round(now - contactSince));
}

/**
 * @param peer a router
 * @param now monotonic milliseconds
 * @returns what another router is told of it
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
		ageMs: Math.max(0, Math.round(now - peer.heardAt)),
		lost: peer.lost,
	};
}

/**
 * @param member what another router tells
 * @param now monotonic milliseconds
 * @param readAddress reads its addresses
 * @returns the router; undefined when it cannot be reached by what is told
 */
export function decodeMember(member: wire.Member, now: number, readAddress: AddressParser): FleetPeer | undefined {
	const peerAddress = readAddress(member.peerAddress);
	const datagramAddress = readAddress(member.datagramAddress);
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
 * @param sender what its datagram says
 * @param now monotonic milliseconds
 * @param readAddress reads its addresses
 * @returns the sender; undefined when it cannot be reached by what it says
 */
export function decodeSender(sender: wire.RouterState, now: number, readAddress: AddressParser): FleetPeer | undefined {
	const peer = decodeMember({ ...sender, ageMs: 0, lost: false }, now, readAddress);
	return peer && { ...peer, followedRevisions: sender.followedRevisions };
}

/**
 * @param engine short key of a server
 * @param report its state
 * @param ageMs milliseconds since its keeper told it
 * @returns the report as it is sent
 */
export function encodeReport(engine: number, report: EngineReport, ageMs = 0): wire.EngineReport {
	return {
		engine,
		waitMs: Math.round(report.waitMs),
		pace: report.pace,
		load: report.load,
		inProgress: report.inProgress,
		failureRate: report.failureRate,
		suspendedMs: Math.round(report.suspendedMs),
		ageMs: Math.max(0, Math.round(ageMs)),
	};
}

/**
 * @param reports that keepers told
 * @param now monotonic milliseconds
 * @returns the reports as they are told on
 */
export function encodeRelayedReports(reports: readonly RelayedReport[], now: number): wire.EngineReport[] {
	return reports.map(({ engine, report, reportedAt: toldAt }) => encodeReport(engine, report, now - toldAt));
}

/**
 * @param state a datagram as it arrived
 * @returns whether all its numbers can be computed with
 */
export function hasValidNumbers({ reports, usage, usageSum }: wire.RouterState): boolean {
	const numbers = [
		...reports.flatMap(({ pace, load, failureRate }) => [pace, load, failureRate]),
		...[...usage, ...(usageSum?.usage ?? [])].flatMap(({ offered, admitted }) => [offered, admitted]),
	];
	return numbers.every((number) => Number.isFinite(number) && number >= 0);
}
