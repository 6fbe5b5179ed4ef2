import * as http from 'node:http';
import type { Duplex } from 'node:stream';

/**
 * HTTP agent that keeps connections open between requests and closes an idle one on which bytes arrive. These bytes
 * belong to no request, and would be taken for the response to the next request on the connection.
 */
export class GuardedAgent extends http.Agent {
	private readonly guards = new WeakMap<object, () => void>();
	private openedCount = 0;

	/** Number of connections opened since the start. */
	public get connectionsOpened(): number {
		return this.openedCount;
	}

	/**
	 * @param name name of a server's connections, as returned by `getName`
	 * @returns whether there is an open connection to it that is not in use
	 */
	public hasIdleSocket(name: string): boolean {
		return this.freeSockets[name] !== undefined;
	}

	/**
	 * Closes the connections to a server that are not in use.
	 *
	 * @param host host of the server
	 * @param port port of the server
	 */
	public closeIdleSockets(host: string, port: string): void {
		[...(this.freeSockets[this.getName({ host, port })] ?? [])].forEach((socket) => socket.destroy());
	}

	public override createConnection(
		options: http.ClientRequestArgs,
		callback?: (error: Error | null, stream: Duplex) => void,
	): Duplex | null | undefined {
		this.openedCount++;
		return super.createConnection(options, callback);
	}

	public override keepSocketAlive(socket: Duplex): boolean {
		// Node.js documents a boolean result, which the type declarations lack.
		const keepAlive = super.keepSocketAlive.bind(this) as (socket: Duplex) => boolean;
		if (!keepAlive(socket)) {
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
