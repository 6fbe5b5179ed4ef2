import { eraOf } from '../../store/common/storeRevision.js';

/** A backend server as described by its registration. */
export interface RegisteredServer {
	readonly id: string;
	readonly service: string;
	/** Address in the form `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	/** Version of the server's software; undefined when the registration has none. */
	readonly softwareVersion: string | undefined;
	/** Maximum number of requests that the server runs concurrently. */
	readonly slots: number;
	/** Whether the server is shutting down and accepts no new requests. */
	readonly leaving: boolean;
	/** Start time in Unix milliseconds, which distinguishes incarnations; undefined when the registration has none. */
	readonly startedAt: number | undefined;
	/** Remaining milliseconds of the cold period at the time when the server wrote its registration. */
	readonly coldLeftMs: number;
	/** Number of the registration among those of this incarnation, which only rises; undefined when it has none. */
	readonly reportNumber: number | undefined;
	/** Revision of the registration in the store. */
	readonly revision: number;
}

/**
 * Compares a registration of a restored store with what was known of the server before the restore. Within one era of the
 * store, the later entry is the newer one.
 *
 * @param registered entry in the store
 * @param known last registration that was in force
 * @returns whether the server wrote the entry after the known one; true when this cannot be told
 */
export function isNewerRegistration(registered: RegisteredServer, known: RegisteredServer): boolean {
	if (eraOf(registered.revision) <= eraOf(known.revision)) {
		return true;
	}
	const isSameIncarnation = registered.startedAt === known.startedAt;
	const [time, knownTime] = isSameIncarnation
		? [registered.reportNumber, known.reportNumber]
		: [registered.startedAt, known.startedAt];
	return time === undefined || knownTime === undefined || time > knownTime;
}
