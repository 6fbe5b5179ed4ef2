// Stand-in of a plain engine, after PROTOCOL.md, "Engines". Its answers are sound unless a case passes its own `answer`.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';

let signatures = 0;

export class Engine {
	conns = new Set();

	/**
	 * @param {string} id identifier in the store
	 * @param {number} workMs time for which the engine works on a request
	 * @param {(event: string, fields: object) => void} record receives what is run
	 * @param {(request: object, response: object, head: object, text: string) => boolean} answer writes an answer of the
	 * case itself and returns true, or returns false for the sound answer
	 * @param {number} idleTimeoutMs time after which idle channels are closed
	 */
	constructor(id, workMs, record, answer = () => false, idleTimeoutMs = 30_000) {
		Object.assign(this, { id, workMs, record, answer });
		this.server = createServer({ keepAliveTimeout: idleTimeoutMs }, (request, response) => {
			const chunks = [];
			request.on('data', (chunk) => chunks.push(chunk));
			request.on('end', () => this.run(request, Buffer.concat(chunks).toString('utf8'), response));
			request.on('error', () => undefined);
		});
	}

	async listen(host) {
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.address = `${host}:${this.server.address().port}`;
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	run(request, body, response) {
		const id = request.headers['x-request-id'];
		const head = { 'X-Request-Id': id ?? '', 'Content-Type': 'text/plain' };
		const target = request.headers['x-target-instance'];
		if (id === undefined || (target !== undefined && target !== this.id)) {
			response
				.writeHead(id === undefined ? 400 : 421, { ...head, 'X-Not-Executed': 'true', 'Content-Length': 0 })
				.end();
			return;
		}
		this.record('run', { engine: this.id, id, method: request.method, path: request.url });
		setTimeout(() => {
			if (response.destroyed) {
				return;
			}
			head['X-Signature'] = `${this.id}.${++signatures}`;
			const text = `answer of ${this.id} to ${id} ${body}`;
			if (!this.answer(request, response, head, text)) {
				response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(text) }).end(text);
			}
		}, this.workMs);
	}
}
