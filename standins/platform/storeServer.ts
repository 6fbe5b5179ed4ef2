import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { UNARY_CALLS, responseHeader, watchMessage, type CallKind } from './etcdApi.js';
import { readJson, sendJson } from './httpBody.js';
import { KeyValueState, type KeyEvent } from './keyValueState.js';
import { StoreFaults, type StoreFaultSettings } from './storeFaults.js';

/** Calls since the start or the last reset. */
export interface StoreCounters {
	/** All calls, each watch counted once. */
	calls: number;
	reads: number;
	writes: number;
	leases: number;
	watches: number;
	/** Refused with 429. */
	limited: number;
	/** Writes that took effect and whose answer was lost. */
	lost: number;
	/** Calls that arrived while the store was hanging. */
	hung: number;
	bytesReceived: number;
	bytesSent: number;
}

const COUNTER_OF = { read: 'reads', write: 'writes', lease: 'leases', watch: 'watches' } as const;

function noCalls(): StoreCounters {
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
	private counted = noCalls();
	private waitingWatches = 0;
	private server: http.Server | undefined;
	private port = 0;

	/** @returns the port on which the service listens */
	public async start(port: number): Promise<number> {
		this.port = port;
		await this.listen();
		return this.port;
	}

	/** Counters and the number of watches that wait now. */
	public get counters(): StoreCounters & { readonly waitingWatches: number } {
		return { ...this.counted, waitingWatches: this.waitingWatches };
	}

	public resetCounters(): void {
		this.counted = noCalls();
	}

	/** Sets faults. Each change of the mode breaks all connections. */
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
		// The watches of before are cut, so that none is silent for ever after the outage.
		this.breakConnections();
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
		this.breakConnections();
		await closed;
	}

	private breakConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const { body, bytes } = await readJson(request);
		if (this.faults.mode === 'hanging') {
			this.counted.hung++;
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
			this.answer(response, 404, { code: 5, message: 'Not Found' });
			return;
		}
		this.count(call.kind, bytes);
		if (!this.faults.admit(call.kind === 'read' ? 'read' : 'write')) {
			this.counted.limited++;
			this.answer(response, 429, { code: 8, message: 'too many requests' });
			return;
		}
		const answer = call.run(this.state, body as never);
		if (call.kind !== 'read' && this.faults.shouldDropResponse()) {
			this.counted.lost++;
			request.socket.destroy();
			return;
		}
		this.answer(response, answer.status, answer.body);
	}

	private count(kind: CallKind, bytes: number): void {
		this.counted.calls++;
		this.counted[COUNTER_OF[kind]]++;
		this.counted.bytesReceived += bytes;
	}

	private answer(response: http.ServerResponse, status: number, body: unknown): void {
		const send = (): void => {
			this.counted.bytesSent += sendJson(response, status, body);
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
			this.counted.bytesSent += Buffer.byteLength(line);
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
				this.later(() => send(watchMessage(this.state, event)));
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

	private later(action: () => void): void {
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
