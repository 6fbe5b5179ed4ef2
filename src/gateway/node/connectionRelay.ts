import { connect, type Socket } from 'node:net';
import { Effect } from 'effect';
import { resetConnection } from '../../base/node/brokenResponse.js';
import { afterNextPoll } from '../../base/node/eventLoop.js';
import type { SocketAddress } from '../../settings/common/settings.js';

/** A neighbour in the same failure domain accepts within milliseconds, unless it is saturated too. */
const CONNECT_TIMEOUT_MS = 250;

interface RelayedConnection {
	readonly caller: Socket;
	readonly router: Socket;
	/** Whether the caller has sent anything. */
	readonly isUsed: () => boolean;
}

/**
 * Passes connections of callers on to other routers byte by byte. This takes less CPU time than reading a request and handing
 * it over. The other router recognizes such a connection by its address and closes it after one response, so that none is
 * idle when this router stops.
 */
export class ConnectionRelay {
	private readonly relayed = new Set<RelayedConnection>();
	private readonly waiting: (() => void)[] = [];
	private startedCount = 0;
	private failedCount = 0;

	private constructor() {}

	/** @returns a relay without connections */
	public static create(): ConnectionRelay {
		return new ConnectionRelay();
	}

	/** Number of connections that are being passed on. */
	public get size(): number {
		return this.relayed.size;
	}

	/** Number of connections passed on since the start. */
	public get started(): number {
		return this.startedCount;
	}

	/** Number of connections that were served here, since the other router could not be reached. */
	public get failed(): number {
		return this.failedCount;
	}

	/**
	 * Passes a connection on.
	 *
	 * @param caller connection from which nothing has been read
	 * @param address of the router that serves it
	 * @param localAddress by which that router recognizes this one; undefined when any will do
	 * @param onEnd called when the connection has ended; with false if that router could not be reached, in which case
	 * nothing has been read from the caller
	 */
	public relay(
		caller: Socket,
		address: SocketAddress,
		localAddress: string | undefined,
		onEnd: (wasRelayed: boolean) => void,
	): void {
		const router = connect({ host: address.host, port: address.port, noDelay: true, localAddress });
		const timer = setTimeout(() => router.destroy(new Error('no connection in time')), CONNECT_TIMEOUT_MS);
		let isConnected = false;
		const connection: RelayedConnection = { caller, router, isUsed: () => caller.bytesRead > 0 };
		this.relayed.add(connection);
		// A caller that leaves meanwhile is noticed when its connection is read.
		const ignoreError = (): void => undefined;
		caller.on('error', ignoreError);
		router.once('connect', () => {
			clearTimeout(timer);
			isConnected = true;
			if (caller.destroyed) {
				router.destroy();
				return;
			}
			this.startedCount++;
			caller.once('close', () => router.destroy());
			caller.once('error', () => router.destroy());
			router.pipe(caller);
			forwardIfPresent(caller, router);
		});
		router.once('error', () => {
			clearTimeout(timer);
			if (isConnected) {
				// A regular end could be taken for the end of a response without a length.
				resetConnection(caller);
			}
		});
		router.once('close', () => {
			this.remove(connection);
			if (isConnected) {
				caller.destroySoon();
			} else {
				this.failedCount++;
				caller.off('error', ignoreError);
			}
			onEnd(isConnected);
		});
	}

	/** Completes when no connection is being passed on. */
	public readonly idle: Effect.Effect<void> = Effect.callback<undefined>((resume) => {
		if (this.relayed.size === 0) {
			resume(Effect.undefined);
			return;
		}
		this.waiting.push(() => resume(Effect.undefined));
	});

	/** Closes the connections whose callers have not sent anything. */
	public closeUnused(): void {
		[...this.relayed].filter(({ isUsed }) => !isUsed()).forEach(({ caller }) => caller.destroy());
	}

	/** Closes all connections. */
	public dispose(): void {
		this.relayed.forEach(({ caller, router }) => {
			resetConnection(caller);
			router.destroy();
		});
	}

	private remove(connection: RelayedConnection): void {
		this.relayed.delete(connection);
		if (this.relayed.size === 0) {
			this.waiting.splice(0).forEach((resume) => resume());
		}
	}
}

/**
 * Passes on what a caller sends unless it has left. A saturated router often reads a request after its caller has disconnected,
 * and reads the end of the connection one iteration of the event loop later.
 */
function forwardIfPresent(caller: Socket, router: Socket): void {
	const received: Buffer[] = [];
	const collect = (chunk: Buffer): void => {
		received.push(chunk);
		if (received.length > 1) {
			return;
		}
		afterNextPoll(() => {
			caller.off('data', collect);
			if (caller.readableEnded || caller.destroyed) {
				caller.destroy();
				return;
			}
			received.forEach((part) => router.write(part));
			caller.pipe(router);
		});
	};
	caller.on('data', collect);
	caller.once('end', () => router.end());
}
