import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/lifecycle.js';
import { REAPPEARANCE_PERIOD_MS } from '../../store/common/revisionedStore.js';
import { isNewerRegistration, type RegisteredServer } from './directory.js';

/**
 * Time for which a server that was removed is remembered, so that an entry of a restored store does not bring it back. A
 * store is restored from a copy some seconds old.
 */
const REMOVED_RETENTION_MS = 60_000;

interface RemovedServer {
	readonly server: RegisteredServer;
	/** Monotonic milliseconds. */
	readonly at: number;
}

interface KnownServer {
	readonly server: RegisteredServer;
	/** Whether the entry is missing from the store but may reappear. */
	readonly missing: boolean;
}

/** A change of one server, reported for logging. */
export interface DirectoryChange {
	readonly server: RegisteredServer;
	readonly change:
		'added' | 'leaving' | 'removed' | 'missing' | 'returned' | 'restarted' | 'evacuated' | 'taken-back' | 'cold';
}

/**
 * Tracks which backend servers may receive new requests. A deleted entry means that its server is gone, unless the store
 * was unreachable for the whole fleet shortly before: entries expire during an outage although their servers are alive.
 * Entries of a store that was restored from an older copy replace what is known only if their servers wrote them later.
 */
export class ServerDirectory extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<readonly DirectoryChange[]>());
	private readonly known = new Map<string, KnownServer>();
	private readonly removed = new Map<string, RemovedServer>();
	private registered: readonly RegisteredServer[] = [];
	/** Failure domains whose servers receive no new requests. */
	private evacuated: ReadonlySet<string> = new Set();

	/** Fires with the servers that changed. */
	public readonly onDidChange = this.changeEmitter.event;

	private constructor(private readonly contactSince: () => number | undefined) {
		super();
	}

	/**
	 * @param contactSince returns the monotonic milliseconds since which at least one router of the fleet has been reading
	 * the store without interruption; undefined while none is known to read it
	 * @returns a directory without servers
	 */
	public static create(contactSince: () => number | undefined): ServerDirectory {
		return new ServerDirectory(contactSince);
	}

	/** All known servers, including those that are leaving and those whose entries are missing for a while. */
	public get all(): readonly RegisteredServer[] {
		return [...this.known.values()].map(({ server }) => server);
	}

	/** Servers that may receive new requests. */
	public get usable(): readonly RegisteredServer[] {
		return [...this.known.values()]
			.map(({ server }) => server)
			.filter(({ leaving, failureDomain }) => !leaving && !this.evacuated.has(failureDomain));
	}

	/** Whether servers with missing entries are retained, so that {@link refresh} has to be called again. */
	public get hasMissing(): boolean {
		return [...this.known.values()].some(({ missing }) => missing);
	}

	/**
	 * Replaces the registrations and applies the changes.
	 *
	 * @param registered all current registrations
	 * @param now monotonic milliseconds
	 */
	public update(registered: readonly RegisteredServer[], now: number): void {
		this.registered = registered;
		this.refresh(now);
	}

	/**
	 * Sets the failure domains whose servers receive no new requests until their evacuation is reverted.
	 *
	 * @param failureDomains all evacuated failure domains
	 */
	public setEvacuatedDomains(failureDomains: ReadonlySet<string>): void {
		const before = this.evacuated;
		this.evacuated = failureDomains;
		const changes = [...this.known.values()].flatMap(({ server }): readonly DirectoryChange[] => {
			const isEvacuated = failureDomains.has(server.failureDomain);
			return isEvacuated === before.has(server.failureDomain)
				? []
				: [{ server, change: isEvacuated ? 'evacuated' : 'taken-back' }];
		});
		if (changes.length > 0) {
			this.changeEmitter.fire(changes);
		}
	}

	/**
	 * Applies the current registrations and removes servers whose missing entries are not expected to reappear.
	 *
	 * @param now monotonic milliseconds
	 */
	public refresh(now: number): void {
		const changes: DirectoryChange[] = [];
		const present = new Set<string>();
		for (const server of this.registered) {
			present.add(server.id);
			const change = this.applyRegistration(server);
			if (change !== undefined) {
				changes.push({ server, change });
			}
		}
		for (const [id, { at }] of this.removed) {
			if (now - at > REMOVED_RETENTION_MS) {
				this.removed.delete(id);
			}
		}
		const contactStartedAt = this.contactSince();
		const removesMissing = contactStartedAt !== undefined && now - contactStartedAt >= REAPPEARANCE_PERIOD_MS;
		for (const [id, { server, missing }] of this.known) {
			if (present.has(id)) {
				continue;
			}
			if (removesMissing || server.leaving) {
				this.known.delete(id);
				this.removed.set(id, { server, at: now });
				changes.push({ server, change: 'removed' });
			} else if (!missing) {
				this.known.set(id, { server, missing: true });
				changes.push({ server, change: 'missing' });
			}
		}
		if (changes.length > 0) {
			this.changeEmitter.fire(changes);
		}
	}

	private applyRegistration(server: RegisteredServer): DirectoryChange['change'] | undefined {
		const before = this.known.get(server.id);
		const last = before ?? this.removed.get(server.id);
		if (last !== undefined && !isNewerRegistration(server, last.server)) {
			if (before !== undefined) {
				this.known.set(server.id, { server: before.server, missing: false });
			}
			return before?.missing === true ? 'returned' : undefined;
		}
		this.known.set(server.id, { server, missing: false });
		if (before === undefined) {
			this.removed.delete(server.id);
			return 'added';
		}
		if (isOtherIncarnation(server, before.server)) {
			return 'restarted';
		}
		if (server.leaving && !before.server.leaving) {
			return 'leaving';
		}
		if (before.missing) {
			return 'returned';
		}
		return server.coldLeftMs > 0 && server.revision !== before.server.revision ? 'cold' : undefined;
	}
}

/** Some registrations have no start time, so the address and the version of the software are compared too. */
function isOtherIncarnation(one: RegisteredServer, other: RegisteredServer): boolean {
	return (
		one.startedAt !== other.startedAt || one.address !== other.address || one.softwareVersion !== other.softwareVersion
	);
}
