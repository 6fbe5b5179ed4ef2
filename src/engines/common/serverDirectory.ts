import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/lifecycle.js';
import type { RegisteredServer } from './directory.js';

/** Servers that live write their entries again within two seconds of the store's return; the rest is reading them. */
const RETURN_PERIOD_MS = 2_300;

interface KnownServer {
	readonly server: RegisteredServer;
	/** Set while the entry is missing and may come back. */
	readonly missing: boolean;
}

/** Why the directory changed, for logs. */
export interface DirectoryChange {
	readonly server: RegisteredServer;
	readonly change: 'added' | 'leaving' | 'removed' | 'missing' | 'returned' | 'restarted';
}

/**
 * Knows which backend servers may get new requests. An entry that disappears means that its server has left, unless the
 * store was away shortly before: entries lapse during an outage although their servers live.
 */
export class ServerDirectory extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<readonly DirectoryChange[]>());
	private readonly known = new Map<string, KnownServer>();
	private registered: readonly RegisteredServer[] = [];
	private connected = false;
	private settledAt = 0;

	/** Fires with what has changed. */
	public readonly onDidChange = this.changeEmitter.event;

	private constructor() {
		super();
	}

	/** @returns a directory without servers */
	public static create(): ServerDirectory {
		return new ServerDirectory();
	}

	/** Servers that may get new requests. */
	public get usable(): readonly RegisteredServer[] {
		return [...this.known.values()].map(({ server }) => server).filter(({ leaving }) => !leaving);
	}

	/** Milliseconds on the clock of {@link update} from which missing entries mean that their servers have left. */
	public get missingTrustedAt(): number {
		return this.connected ? this.settledAt : Infinity;
	}

	/**
	 * @param connected whether the store can be read
	 * @param now monotonic milliseconds
	 */
	public setContact(connected: boolean, now: number): void {
		if (connected && !this.connected) {
			this.settledAt = this.known.size === 0 ? now : now + RETURN_PERIOD_MS;
		}
		this.connected = connected;
		this.refresh(now);
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
	 * Removes servers whose entries have not come back. To be called again at {@link missingTrustedAt}.
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
		const removes = this.connected && now >= this.settledAt;
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
		return before.missing ? 'returned' : undefined;
	}
}
