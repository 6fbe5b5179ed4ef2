import * as net from 'node:net';

/** An ordered pair of routers. */
export interface PairSpec {
	/** Name of the router that connects. */
	readonly from: string;
	/** Name of the router that is connected to. */
	readonly to: string;
	/** Peer address of `to`. */
	readonly target: string;
}

/** Bytes that one router has sent to and received from the others. */
export interface RouterBytes {
	sent: number;
	received: number;
}

interface Pair {
	readonly spec: PairSpec;
	readonly server: net.Server;
	readonly links: Set<Link>;
	/** Whether the routers are in different groups of a partition. */
	cut: boolean;
}

interface Chunk {
	readonly dueMs: number;
	readonly data: Buffer | undefined;
}

/**
 * Forwards TCP connections between routers with a one-way delay. Each ordered pair of routers has its own port. While a pair
 * is partitioned, new connections are accepted and all bytes are buffered without an error at either end, as in a network
 * partition until one end times out. The bytes are delivered when the partition ends.
 */
export class Relay {
	private readonly pairs: Pair[] = [];
	private readonly bytes = new Map<string, RouterBytes>();
	private readonly active = new Set<Link>();
	private polling = false;

	private constructor(private readonly delayMs: number) {}

	/**
	 * @param delayMs one-way delay of all pairs in milliseconds
	 * @returns a relay without pairs
	 */
	public static create(delayMs: number): Relay {
		return new Relay(delayMs);
	}

	/**
	 * Opens a port for a pair.
	 *
	 * @param spec names of the routers and the address to forward to
	 * @returns address at which `from` reaches `to`
	 */
	public async add(spec: PairSpec): Promise<string> {
		const server = net.createServer({ allowHalfOpen: true, noDelay: true });
		const pair: Pair = { spec, server, links: new Set(), cut: false };
		this.pairs.push(pair);
		server.on('connection', (socket) => this.connect(pair, socket));
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	}

	/**
	 * Partitions all pairs of routers in different groups, in both directions. Pairs with a router in no group stay connected.
	 *
	 * @param groups names of the routers that can still reach each other; with one group or none, all pairs are connected
	 */
	public partition(groups: readonly (readonly string[])[]): void {
		const groupOf = (name: string): number => groups.findIndex((group) => group.includes(name));
		for (const pair of this.pairs) {
			const from = groupOf(pair.spec.from);
			const to = groupOf(pair.spec.to);
			pair.cut = from >= 0 && to >= 0 && from !== to;
			if (!pair.cut) {
				pair.links.forEach((link) => this.activate(link));
			}
		}
	}

	/** @returns sent and received bytes by router since the start */
	public counts(): Readonly<Record<string, RouterBytes>> {
		return Object.fromEntries(this.bytes);
	}

	/** Closes all ports and connections. */
	public close(): void {
		for (const pair of this.pairs) {
			pair.server.close();
			pair.links.forEach((link) => link.destroy());
		}
	}

	private connect(pair: Pair, client: net.Socket): void {
		const [host = '', port = ''] = pair.spec.target.split(':');
		const upstream = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
		const outgoing = new Link(
			client,
			upstream,
			this.bytesOf(pair.spec.from),
			this.bytesOf(pair.spec.to),
			() => pair.cut,
		);
		const incoming = new Link(
			upstream,
			client,
			this.bytesOf(pair.spec.to),
			this.bytesOf(pair.spec.from),
			() => pair.cut,
		);
		for (const link of [outgoing, incoming]) {
			pair.links.add(link);
			link.onData(this.delayMs, () => this.activate(link));
		}
		const close = (): void => {
			outgoing.destroy();
			incoming.destroy();
			pair.links.delete(outgoing);
			pair.links.delete(incoming);
		};
		client.on('close', close).on('error', close);
		upstream.on('close', close).on('error', close);
	}

	private activate(link: Link): void {
		this.active.add(link);
		if (!this.polling) {
			this.polling = true;
			setImmediate(() => this.poll());
		}
	}

	// Node.js timers have a resolution of 1 ms. Delays of 0.5 ms therefore need polling while bytes are in transit.
	private poll(): void {
		const now = performance.now();
		for (const link of this.active) {
			if (!link.forward(now)) {
				this.active.delete(link);
			}
		}
		this.polling = this.active.size > 0;
		if (this.polling) {
			setImmediate(() => this.poll());
		}
	}

	private bytesOf(name: string): RouterBytes {
		const count = this.bytes.get(name) ?? { sent: 0, received: 0 };
		this.bytes.set(name, count);
		return count;
	}
}

/** One direction of a connection. */
class Link {
	private readonly chunks: Chunk[] = [];

	public constructor(
		private readonly source: net.Socket,
		private readonly sink: net.Socket,
		private readonly sender: RouterBytes,
		private readonly receiver: RouterBytes,
		private readonly isCut: () => boolean,
	) {}

	public onData(delayMs: number, activate: () => void): void {
		const push = (data: Buffer | undefined): void => {
			this.chunks.push({ dueMs: performance.now() + delayMs, data });
			activate();
		};
		this.source.on('data', push);
		this.source.on('end', () => push(undefined));
	}

	/** Writes the chunks that are due. Returns whether more are pending; a partitioned link has to be activated again. */
	public forward(now: number): boolean {
		if (this.isCut()) {
			return false;
		}
		for (let chunk = this.chunks[0]; chunk !== undefined && chunk.dueMs <= now; chunk = this.chunks[0]) {
			this.chunks.shift();
			if (chunk.data === undefined) {
				this.sink.end();
				continue;
			}
			this.sender.sent += chunk.data.length;
			this.receiver.received += chunk.data.length;
			this.sink.write(chunk.data);
		}
		return this.chunks.length > 0;
	}

	public destroy(): void {
		this.chunks.length = 0;
		this.source.destroy();
	}
}
