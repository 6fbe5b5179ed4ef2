// Stand-in of a plain server of a service, and its registration.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

export class PlainServer {
	runs = [];

	constructor(id, service, zone, workMs = 20) {
		Object.assign(this, { id, service, zone, workMs, born: Date.now(), seq: 0 });
	}

	async listen(host) {
		this.host = host;
		this.server = http.createServer((request, response) => this.receive(request, response));
		this.server.keepAliveTimeout = 60_000;
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.address = `${host}:${this.server.address().port}`;
		return this;
	}

	registration(state = 'ready') {
		this.seq++;
		const { service, address, zone, seq, born } = this;
		return { service, address, zone, version: '1', slots: this.slots ?? 6, state, cold_left_ms: 0, seq, born };
	}

	receive(request, response) {
		const id = request.headers['x-request-id'];
		const chunks = [];
		request.on('data', (chunk) => chunks.push(chunk));
		request.on('end', () => {
			if (request.headers['x-target-instance'] !== undefined && request.headers['x-target-instance'] !== this.id) {
				response.writeHead(421, { 'x-instance-id': this.id, 'x-request-id': id, 'content-length': 0 }).end();
				return;
			}
			this.runs.push({ id, at: performance.now(), path: request.url, server: this.id, service: this.service });
			setTimeout(() => {
				const events = [1, 2, 3].map((event) => `id: ${event}\ndata: ${id} ${event}\n\n`).join('');
				const isStream = request.headers['x-model'] !== undefined;
				const body = Buffer.from(isStream ? events : `answer of ${this.service} to ${id}`);
				response.writeHead(200, {
					'x-request-id': id,
					'x-signature': `${this.id}.${id}`,
					'x-backend-load': '0,0,6',
					...(isStream ? { 'content-type': 'text/event-stream' } : {}),
					'content-length': body.length,
				});
				response.end(body);
			}, this.workMs);
		});
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}
}
