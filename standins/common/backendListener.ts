import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Handles one request to a backend stand-in, after its complete body has been read. */
export type BackendHandler = (request: http.IncomingMessage, body: Buffer, response: http.ServerResponse) => void;

/**
 * HTTP listener of one backend stand-in. It can simulate a crash and restart of the process: all connections are reset and
 * the port refuses connections for a while.
 */
export class BackendListener {
	private readonly sockets = new Set<Socket>();
	private readonly server: http.Server;
	private restartTimer: NodeJS.Timeout | undefined;
	private port = 0;
	private crashCount = 0;

	private constructor(private readonly handler: BackendHandler) {
		this.server = http.createServer((request, response) => {
			this.receive(request, response);
		});
		this.server.keepAliveTimeout = 0;
		this.server.on('connection', (socket) => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('close', () => this.sockets.delete(socket));
		});
	}

	/**
	 * @param handler handles each request
	 * @returns a listener that is not yet listening
	 */
	public static create(handler: BackendHandler): BackendListener {
		return new BackendListener(handler);
	}

	/** Simulated crashes since the start. */
	public get crashes(): number {
		return this.crashCount;
	}

	/**
	 * @param port 0 picks a free port
	 * @returns base URL
	 */
	public async listen(port: number): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, '127.0.0.1', () => {
				this.server.off('error', reject);
				resolve();
			});
		});
		this.port = (this.server.address() as AddressInfo).port;
		return `http://127.0.0.1:${this.port}`;
	}

	/**
	 * Resets all connections and refuses new ones for a while.
	 *
	 * @param downMs milliseconds until the port listens again
	 */
	public crash(downMs: number): void {
		if (this.restartTimer !== undefined) {
			return;
		}
		this.crashCount++;
		this.server.close();
		this.resetConnections();
		this.restartTimer = setTimeout(() => {
			this.restartTimer = undefined;
			this.server.listen(this.port, '127.0.0.1');
		}, downMs);
	}

	/** Stops listening permanently and closes all connections. */
	public async close(): Promise<void> {
		clearTimeout(this.restartTimer);
		this.restartTimer = undefined;
		if (!this.server.listening) {
			return;
		}
		const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
		// Not a reset: Node.js 20 does not exit after a reset of a connection that its peer has just ended.
		for (const socket of this.sockets) {
			socket.destroy();
		}
		await closed;
	}

	private resetConnections(): void {
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => chunks.push(chunk));
		request.on('end', () => {
			this.handler(request, chunks.length === 1 ? (chunks[0] ?? Buffer.alloc(0)) : Buffer.concat(chunks), response);
		});
		request.on('error', () => response.destroy());
	}
}

/**
 * Sends a small JSON response.
 *
 * @param response response to write and end
 * @param status HTTP status
 * @param body value to encode
 * @param headers additional headers
 */
export function sendJson(
	response: http.ServerResponse,
	status: number,
	body: unknown,
	headers: http.OutgoingHttpHeaders = {},
): void {
	const payload = Buffer.from(JSON.stringify(body));
	response.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': payload.length });
	response.end(payload);
}

/**
 * Decodes a JSON object.
 *
 * @param body bytes as received
 * @returns the object; empty if the bytes are not a JSON object
 */
export function parseObject(body: Buffer): Readonly<Record<string, unknown>> {
	try {
		const value: unknown = JSON.parse(body.toString('utf8'));
		return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
	} catch {
		return {};
	}
}

/**
 * Returns the value of one header.
 *
 * @param request received request
 * @param name lower-case name
 * @returns the value, or undefined if it is absent or repeated
 */
export function headerOf(request: http.IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}
