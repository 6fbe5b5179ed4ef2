import type { SuspectEvidence, SuspectKind, SuspectStatus } from '../../backends/common/suspectRegistry.js';
import type * as wire from './generated/masticloom/fleet/v1/fleet.js';
import { toWireCount } from './wireCount.js';

/** What heartbeats repeat of the suspects, by kind. */
export type RepeatedSuspects = Readonly<
	Record<SuspectKind, { readonly quarantined: readonly SuspectStatus[]; readonly evidence: readonly SuspectEvidence[] }>
>;

/**
 * @param evidence of a suspect
 * @returns the encoded evidence
 */
export function encodeEvidence({ key, crashes, clearedAgeMs }: SuspectEvidence): wire.SuspectEvidence {
	return {
		key,
		engines: crashes.map(({ server }) => server),
		agesMs: crashes.map(({ ageMs }) => toWireCount(ageMs)),
		clearedMs: clearedAgeMs === undefined ? 0 : toWireCount(clearedAgeMs + 1),
	};
}

/**
 * @param evidence as received
 * @returns the decoded evidence
 */
export function decodeEvidence({ key, engines, agesMs, clearedMs }: wire.SuspectEvidence): SuspectEvidence {
	return {
		key,
		crashes: engines.flatMap((server, index) => {
			const ageMs = agesMs[index];
			return ageMs === undefined ? [] : [{ server, ageMs }];
		}),
		clearedAgeMs: clearedMs === 0 ? undefined : clearedMs - 1,
	};
}
