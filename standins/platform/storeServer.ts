import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { UNARY_CALLS, responseHeader, watchMessage, type CallKind } from './etcdApi.js';
import { readJson, sendJson } from './httpBody.js';
import { KeyValueState, type KeyEvent } from './keyValueState.js';
import { StoreFaults, type StoreFaultSettings } from './storeFaults.js';

/** Call counters since the start or the last reset. */
export interface StoreCounters {
	/** All calls, each watch counted once. */
	calls: number;
	reads: number;
	writes: number;
	leases: number;
	watches: number;
	/** Refused with 429. */
	limited: number;
	/** Writes that took effect but whose response was lost. */
	lost: number;
	/** Calls that arrived while the store was hanging. */
	hung: number;
	bytesReceived: number;
	bytesSent: number;
}

const COUNTER_BY_KIND = { read: 'reads', write: 'writes', lease: 'leases', watch: 'watches' } as const;

function createCounters(): StoreCounters {
	return {
		calls: 0,
		reads: 0,
		writes: 0,
		leases: 0,
		watches: 0,
		limited: 0,
		lost: 0,
		hung: 0,
		bytesReceived: 0,
		bytesSent: 0,
	};
}

/** The key-value service on its own port, so that an outage can refuse connections. */
export class StoreServer {
	public readonly state = new KeyValueState();
	private readonly faults = new StoreFaults();
	private readonly sockets = new Set<Socket>();
	private counts = createCounters();
	private waitingWatches = 0;
	private server: http.Server | undefined;
	private port = 0;

	/** @returns the port on which the service listens */
	public async start(port: number): Promise<number> {
		this.port = port;
		await this.listen();
		return this.port;
	}

	/** Counters and the number of watches that are open now. */
	public get counters(): StoreCounters & { readonly waitingWatches: number } {
		return { ...this.counts, waitingWatches: this.waitingWatches };
	}

	public resetCounters(): void {
		this.counts = createCounters();
	}

	/** Sets faults. Each change of the mode closes all connections. */
	public async setFaults(settings: StoreFaultSettings): Promise<void> {
		const before = this.faults.mode;
		this.faults.set(settings);
		if (this.faults.mode === before) {
			return;
		}
		if (this.faults.mode === 'refused') {
			await this.stopListening();
			return;
		}
		if (before === 'refused') {
			await this.listen();
			return;
		}
		// Watches from before the change are closed, so that none of them stays silent for ever after the outage.
		this.closeConnections();
	}

	public async close(): Promise<void> {
		this.state.close();
		await this.stopListening();
	}

	private listen(): Promise<void> {
		const server = http.createServer((request, response) => void this.handle(request, response));
		server.on('connection', (socket) => {
			this.sockets.add(socket);
			socket.on('close', () => this.sockets.delete(socket));
		});
		this.server = server;
		return new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.port, '127.0.0.1', () => {
				this.port = (server.address() as AddressInfo).port;
				resolve();
			});
		});
	}

	private async stopListening(): Promise<void> {
		const server = this.server;
		this.server = undefined;
		if (server === undefined) {
			return;
		}
		const closed = new Promise<void>((resolve) => server.close(() => resolve()));
		this.closeConnections();
		await closed;
	}

	private closeConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const { body, bytes } = await readJson(request);
		if (this.faults.mode === 'hanging') {
			this.counts.hung++;
			return;
		}
		const path = new URL(request.url ?? '/', 'http://store').pathname;
		if (path === '/v3/watch') {
			this.count('watch', bytes);
			this.watch(body as WatchRequest, response);
			return;
		}
		const call = UNARY_CALLS.get(path);
		if (call === undefined || request.method !== 'POST') {
			this.respond(response, 404, { code: 5, message: 'Not Found' });
			return;
		}
		this.count(call.kind, bytes);
		if (!this.faults.admit(call.kind === 'read' ? 'read' : 'write')) {
			this.counts.limited++;
			this.respond(response, 429, { code: 8, message: 'too many requests' });
			return;
		}
		const result = call.run(this.state, body as never);
		if (call.kind !== 'read' && this.faults.shouldDropResponse()) {
			this.counts.lost++;
			request.socket.destroy();
			return;
		}
		this.respond(response, result.status, result.body);
	}

	private count(kind: CallKind, bytes: number): void {
		this.counts.calls++;
		this.counts[COUNTER_BY_KIND[kind]]++;
		this.counts.bytesReceived += bytes;
	}

	private respond(response: http.ServerResponse, status: number, body: unknown): void {
		const send = (): void => {
			this.counts.bytesSent += sendJson(response, status, body);
		};
		if (this.faults.delayMs === 0) {
			send();
			return;
		}
		setTimeout(send, this.faults.delayMs).unref();
	}

	private watch(body: WatchRequest, response: http.ServerResponse): void {
		const { key, start_revision: start } = body.create_request ?? {};
		response.writeHead(200, { 'content-type': 'application/json' });
		const send = (message: unknown): void => {
			const line = `${JSON.stringify(message)}\n`;
			this.counts.bytesSent += Buffer.byteLength(line);
			response.write(line);
		};
		send({ result: { header: responseHeader(this.state), created: true } });
		const missed = start === undefined ? [] : this.state.eventsSince(Number(start));
		if (missed === undefined) {
			response.end(`${JSON.stringify({ result: { canceled: true, compact_revision: start } })}\n`);
			return;
		}
		const deliver = (event: KeyEvent): void => {
			if (event.key === key) {
				this.runDelayed(() => send(watchMessage(this.state, event)));
			}
		};
		missed.forEach(deliver);
		const unsubscribe = this.state.subscribe(deliver);
		this.waitingWatches++;
		response.on('close', () => {
			this.waitingWatches--;
			unsubscribe();
		});
	}

	private runDelayed(action: () => void): void {
		if (this.faults.delayMs === 0) {
			action();
			return;
		}
		setTimeout(action, this.faults.delayMs).unref();
	}
}

interface WatchRequest {
	readonly create_request?: { readonly key?: string; readonly start_revision?: string };
}
