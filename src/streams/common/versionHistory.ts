/** Time of the last registration of a version in Unix milliseconds; 'registered' while there is one. */
type LastRegistered = number | 'registered';

/** Versions by service, as stored: Unix milliseconds of the last registration, or null while registered. */
export type StoredHistory = Readonly<Record<string, Readonly<Record<string, number | null>>>>;

/** A server and its software version. */
export interface VersionedServer {
	readonly service: string;
	readonly softwareVersion: string | undefined;
}

/**
 * Software versions whose servers may have begun a stream that is still taken up again: those that are registered, and
 * those whose last server has left since such a stream can have begun.
 *
 * Times of day are compared, since the history outlives all processes. Clocks of routers may differ by seconds, for which
 * the retention has a margin.
 */
export class VersionHistory {
	private readonly versions = new Map<string, Map<string, LastRegistered>>();
	private stored: StoredHistory = {};

	private constructor(private readonly retentionMs: () => number) {}

	/**
	 * @param retentionMs returns the milliseconds for which a version is remembered after its last server has left
	 * @returns a history without versions
	 */
	public static create(retentionMs: () => number): VersionHistory {
		return new VersionHistory(retentionMs);
	}

	/**
	 * Replaces the registered versions.
	 *
	 * @param servers all registered servers, including those that are leaving
	 * @param unixMs time of day in Unix milliseconds
	 */
	public setRegistered(servers: readonly VersionedServer[], unixMs: number): void {
		for (const known of this.versions.values()) {
			for (const [version, lastRegistered] of known) {
				if (lastRegistered === 'registered') {
					known.set(version, unixMs);
				}
			}
		}
		for (const { service, softwareVersion } of servers) {
			if (softwareVersion !== undefined) {
				this.knownVersions(service).set(softwareVersion, 'registered');
			}
		}
	}

	/**
	 * Adds the versions that other routers have stored.
	 *
	 * @param stored stored history
	 * @param unixMs time of day in Unix milliseconds
	 */
	public merge(stored: StoredHistory, unixMs: number): void {
		this.stored = stored;
		for (const [service, versions] of Object.entries(stored)) {
			const known = this.knownVersions(service);
			for (const [version, lastRegistered] of Object.entries(versions)) {
				const before = known.get(version);
				if (before === undefined) {
					// The last router that saw the version did not see it leave, so it may have left just now.
					known.set(version, Math.min(unixMs, lastRegistered ?? unixMs));
				} else if (before !== 'registered' && lastRegistered !== null) {
					known.set(version, Math.min(unixMs, Math.max(before, lastRegistered)));
				}
			}
		}
	}

	/**
	 * @param service name of a service
	 * @param unixMs time of day in Unix milliseconds
	 * @returns versions that may have begun a stream of the service that is still taken up
	 */
	public possibleVersions(service: string, unixMs: number): readonly string[] {
		return [...(this.versions.get(service) ?? [])]
			.filter(([, lastRegistered]) => this.isRemembered(lastRegistered, unixMs))
			.map(([version]) => version);
	}

	/**
	 * @param unixMs time of day in Unix milliseconds
	 * @returns whether streams of some service may have been begun by several versions
	 */
	public isAnyMixed(unixMs: number): boolean {
		return [...this.versions.keys()].some((service) => this.possibleVersions(service, unixMs).length > 1);
	}

	/** Whether the stored history lacks a version, or whether it is still registered. */
	public get needsWrite(): boolean {
		return [...this.versions].some(([service, known]) =>
			[...known].some(([version, lastRegistered]) => {
				const stored = this.stored[service]?.[version];
				return stored === undefined || (stored === null) !== (lastRegistered === 'registered');
			}),
		);
	}

	/** @param unixMs time of day in Unix milliseconds, by which versions are forgotten that are no longer remembered */
	public prune(unixMs: number): void {
		for (const known of this.versions.values()) {
			for (const [version, lastRegistered] of known) {
				if (!this.isRemembered(lastRegistered, unixMs)) {
					known.delete(version);
				}
			}
		}
	}

	/** @returns the versions by service, as they are to be stored */
	public toStored(): StoredHistory {
		return Object.fromEntries(
			[...this.versions].map(([service, known]) => [
				service,
				Object.fromEntries(
					[...known].map(([version, lastRegistered]) => [
						version,
						lastRegistered === 'registered' ? null : lastRegistered,
					]),
				),
			]),
		);
	}

	private isRemembered(lastRegistered: LastRegistered, unixMs: number): boolean {
		return lastRegistered === 'registered' || unixMs - lastRegistered < this.retentionMs();
	}

	private knownVersions(service: string): Map<string, LastRegistered> {
		let known = this.versions.get(service);
		if (known === undefined) {
			known = new Map();
			this.versions.set(service, known);
		}
		return known;
	}
}
