import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/lifecycle.js';
import type { RegisteredServer } from './registeredServer.js';

/** Servers that live write their entries again within two seconds of the store's return; the rest is reading them. */
const RETURN_PERIOD_MS = 2_200;

interface KnownServer {
	readonly server: RegisteredServer;
	/** Set while the entry is missing and may come back. */
	readonly missing: boolean;
}

/** Why the directory changed, for logs. */
export interface DirectoryChange {
	readonly server: RegisteredServer;
	readonly change:
		'added' | 'leaving' | 'removed' | 'missing' | 'returned' | 'restarted' | 'evacuated' | 'taken-back' | 'cold';
}

/**
 * Knows which backend servers may get new requests. An entry that disappears means that its server has left, unless the
 * store was away for the whole fleet shortly before: entries lapse during an outage although their servers live.
 */
export class ServerDirectory extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<readonly DirectoryChange[]>());
	private readonly known = new Map<string, KnownServer>();
	private registered: readonly RegisteredServer[] = [];
	/** Failure domains whose servers get no new requests. */
	private evacuated: ReadonlySet<string> = new Set();

	/** Fires with what has changed. */
	public readonly onDidChange = this.changeEmitter.event;

	private constructor(private readonly contactSince: () => number | undefined) {
		super();
	}

	/**
	 * @param contactSince monotonic milliseconds since which some router of the fleet has read the store without a break;
	 * undefined while none is known to read it
	 * @returns a directory without servers
	 */
	public static create(contactSince: () => number | undefined): ServerDirectory {
		return new ServerDirectory(contactSince);
	}

	/** Servers that may get new requests. */
	public get usable(): readonly RegisteredServer[] {
		return [...this.known.values()]
			.map(({ server }) => server)
			.filter(({ leaving, failureDomain }) => !leaving && !this.evacuated.has(failureDomain));
	}

	/** Whether servers are kept whose entries are missing, so that {@link refresh} has to be called again. */
	public get hasMissing(): boolean {
		return [...this.known.values()].some(({ missing }) => missing);
	}

	/**
	 * @param registered all registrations
	 * @param now monotonic milliseconds
	 */
	public update(registered: readonly RegisteredServer[], now: number): void {
		this.registered = registered;
		this.refresh(now);
	}

	/**
	 * Sets the failure domains whose servers get no new requests until they are taken back.
	 *
	 * @param failureDomains all that are evacuated
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
	 * Removes servers whose entries are missing and will not come back.
	 *
	 * @param now monotonic milliseconds
	 */
	public refresh(now: number): void {
		const changes: DirectoryChange[] = [];
		const present = new Set<string>();
		for (const server of this.registered) {
			present.add(server.id);
			const change = this.apply(server);
			if (change !== undefined) {
				changes.push({ server, change });
			}
		}
		const since = this.contactSince();
		const removes = since !== undefined && now - since >= RETURN_PERIOD_MS;
		for (const [id, { server, missing }] of this.known) {
			if (present.has(id)) {
				continue;
			}
			if (removes || server.leaving) {
				this.known.delete(id);
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

	private apply(server: RegisteredServer): DirectoryChange['change'] | undefined {
		const before = this.known.get(server.id);
		this.known.set(server.id, { server, missing: false });
		if (before === undefined) {
			return 'added';
		}
		if (before.server.startedAt !== server.startedAt || before.server.address !== server.address) {
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
