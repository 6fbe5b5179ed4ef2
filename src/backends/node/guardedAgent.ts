import * as http from 'node:http';
import type { Duplex } from 'node:stream';

/**
 * Keeps connections open between requests and drops an idle one on which bytes arrive: they belong to no request, and
 * the next request on the connection would take them for its answer.
 */
export class GuardedAgent extends http.Agent {
	private readonly guards = new WeakMap<object, () => void>();
	private opened = 0;

	/** Connections opened since the start. */
	public get connectionsOpened(): number {
		return this.opened;
	}

	/**
	 * @param host of a server
	 * @param port of the server
	 * @returns whether a connection to it is open and not in use
	 */
	public hasIdleSocket(host: string, port: string): boolean {
		return this.freeSockets[this.getName({ host, port })] !== undefined;
	}

	/**
	 * Closes the connections to a server that no request uses.
	 *
	 * @param host of the server
	 * @param port of the server
	 */
	public closeIdleSockets(host: string, port: string): void {
		[...(this.freeSockets[this.getName({ host, port })] ?? [])].forEach((socket) => socket.destroy());
	}

	public override createConnection(
		options: http.ClientRequestArgs,
		callback?: (error: Error | null, stream: Duplex) => void,
	): Duplex | null | undefined {
		this.opened++;
		return super.createConnection(options, callback);
	}

	public override keepSocketAlive(socket: Duplex): boolean {
		// Node.js documents a boolean result, which the types leave out.
		const keep = super.keepSocketAlive.bind(this) as (socket: Duplex) => boolean;
		if (!keep(socket)) {
			return false;
		}
		const guard = (): void => {
			socket.destroy();
		};
		this.guards.set(socket, guard);
		socket.on('data', guard);
		return true;
	}

	public override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
		const guard = this.guards.get(socket);
		if (guard !== undefined) {
			socket.off('data', guard);
		}
		super.reuseSocket(socket, request);
	}
}
