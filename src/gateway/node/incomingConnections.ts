import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { NeighbourSelector } from '../common/neighbourSelector.js';
import { RelayFraction } from '../common/relayFraction.js';
import { ConnectionRelay } from './connectionRelay.js';

/** Memory charged for a connection that is passed on: both directions are read no further than about this. */
const RELAY_BYTES = 32_768;

/** Decides for each new connection whether it is served here or passed on to another router. */
export class IncomingConnections {
	private readonly relay = ConnectionRelay.create();
	private readonly fraction = RelayFraction.create();
	/** Connections that other routers have passed on. */
	private readonly fromRouters = new WeakSet<Socket>();
	private isEnabled = false;
	private isClosing = false;
	private wasRelaying = false;

	private constructor(
		private readonly neighbours: NeighbourSelector,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
		private readonly budget: MemoryBudget,
		private readonly hasRoom: () => boolean,
		private readonly localAddress: () => string | undefined,
	) {}

	/**
	 * Takes over the new connections of a server.
	 *
	 * @param server that has its own listeners for connections, to which those to be served here are passed
	 * @param neighbours to which connections can be passed on
	 * @param clock source of time
	 * @param log receives a line when passing on begins or ends
	 * @param budget to which each connection that is passed on is charged
	 * @param hasRoom returns whether there are descriptors for another connection that is passed on
	 * @returns an instance that serves all connections here until it is enabled
	 */
	public static create(
		server: Server,
		neighbours: NeighbourSelector,
		clock: IClock,
		log: IDecisionLog,
		budget: MemoryBudget,
		hasRoom: () => boolean,
	): IncomingConnections {
		const localAddress = (): string | undefined => {
			const address = server.address();
			return typeof address === 'object' ? address?.address : undefined;
		};
		const created = new IncomingConnections(neighbours, clock, log, budget, hasRoom, localAddress);
		const listeners = server.listeners('connection');
		server.removeAllListeners('connection');
		const serve = (socket: Socket): void => listeners.forEach((listener) => void listener.call(server, socket));
		server.on('connection', (socket) => created.receive(socket, serve));
		return created;
	}

	/** Fraction of the new connections that are passed on, from 0 to 1. */
	public get relayedFraction(): number {
		return this.fraction.value;
	}

	/** Number of connections that are being passed on. */
	public get relayedCount(): number {
		return this.relay.size;
	}

	/** Number of connections passed on since the start. */
	public get startedCount(): number {
		return this.relay.started;
	}

	/** Completes when no connection is being passed on. */
	public get idle(): Effect.Effect<void> {
		return this.relay.idle;
	}

	/** @param isEnabled whether connections that this router cannot serve are passed on */
	public setEnabled(isEnabled: boolean): void {
		this.isEnabled = isEnabled;
	}

	/**
	 * @param socket of a connection that is served here
	 * @returns whether another router has passed it on, so that it must be closed after one response
	 */
	public isFromRouter(socket: Socket): boolean {
		return this.fromRouters.has(socket);
	}

	/**
	 * @param meanLagMs mean event loop lag in milliseconds
	 * @param now monotonic milliseconds
	 */
	public recordLag(meanLagMs: number, now: number): void {
		if (!this.isEnabled) {
			return;
		}
		this.fraction.update(meanLagMs, now);
		const isRelaying = this.fraction.value > 0;
		if (isRelaying !== this.wasRelaying) {
			this.wasRelaying = isRelaying;
			const { started, failed } = this.relay;
			this.log.write('connection-relay', { isRelaying, started, failed });
		}
	}

	/** Serves all further connections here. */
	public startDraining(): void {
		this.isClosing = true;
	}

	/** Closes connections that were passed on and not used yet. */
	public closeUnused(): void {
		this.relay.closeUnused();
	}

	/** Closes all connections that were passed on. */
	public dispose(): void {
		this.relay.dispose();
	}

	private receive(socket: Socket, serve: (socket: Socket) => void): void {
		if (!this.isEnabled) {
			serve(socket);
			return;
		}
		if (this.neighbours.hasAddress(socket.remoteAddress ?? '')) {
			this.fromRouters.add(socket);
			serve(socket);
			return;
		}
		const mayRelay = !this.isClosing && this.fraction.takeNext() && this.hasRoom();
		const neighbour = mayRelay ? this.neighbours.select(this.clock.now()) : undefined;
		if (neighbour === undefined || !this.budget.tryReserve('response', RELAY_BYTES)) {
			serve(socket);
			return;
		}
		this.relay.relay(socket, neighbour.address, this.localAddress(), (wasRelayed) => {
			this.budget.release('response', RELAY_BYTES);
			if (!wasRelayed) {
				this.neighbours.rest(neighbour.instance, this.clock.now());
				// A caller that has left in the meantime was reported as closed before anything listened.
				if (!socket.destroyed) {
					serve(socket);
				}
			}
		});
	}
}
