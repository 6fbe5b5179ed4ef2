import { createConnection, type Socket } from 'node:net';
import { apiKeyOf, HOST } from '../../standins/usersPlatform/usersPlatform.js';
import { sleep } from '../fleet/processes.js';
import type { PlatformRouterProcess } from './platformFleet.js';

/** What a client sends on its connection: a head once, then a piece repeatedly. */
export interface HostileTraffic {
	readonly head: string;
	readonly piece: Buffer;
	/** Maximum number of pieces per connection. */
	readonly pieces: number;
	/** Returns pieces that differ from each other, in place of `piece`. */
	readonly nextPiece?: () => Buffer;
}

/** Largest body of the configuration in use, in bytes. */
export const MAXIMUM_BODY_BYTES = 4_194_304;

/** Path of the requests whose body never ends, which therefore must not run. */
export const UNFINISHED_PATH = '/order/unfinished';

/** Size of one write; the system call costs more than smaller writes save. */
const WRITE_BYTES = 65_536;
const LARGE_CHUNK_BYTES = 65_536;
const PIPELINED_BYTES = 4_194_304;
const DRAIN_POLL_MS = 10;
const KEY_HEADER = `Authorization: Bearer ${apiKeyOf('archive')}\r\n`;
const POST_HEAD = `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\n${KEY_HEADER}`;
const UNFINISHED_HEAD = `POST ${UNFINISHED_PATH} HTTP/1.1\r\nHost: ${HOST}\r\n${KEY_HEADER}`;
const CHUNKED_HEAD = `${UNFINISHED_HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const LARGE_CHUNK = `${LARGE_CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(LARGE_CHUNK_BYTES)}\r\n`;

/** Kinds of clients outside the limits, by name. */
export const HOSTILE_TRAFFIC: Readonly<Record<string, HostileTraffic>> = {
	'chunks of one byte that stop short of the end': repeated(CHUNKED_HEAD, '1\r\nx\r\n', MAXIMUM_BODY_BYTES - 1),
	'endless chunks of one byte': repeated(CHUNKED_HEAD, '1\r\nx\r\n', 2 * MAXIMUM_BODY_BYTES),
	'large chunks that stop short of the end': repeated(
		CHUNKED_HEAD,
		LARGE_CHUNK,
		MAXIMUM_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
	),
	'bodies with a length that stop short of the end': repeated(
		`${UNFINISHED_HEAD}Content-Length: ${MAXIMUM_BODY_BYTES}\r\n\r\n`,
		'x'.repeat(LARGE_CHUNK_BYTES),
		MAXIMUM_BODY_BYTES / LARGE_CHUNK_BYTES - 1,
	),
	'endless trailers': repeated(`${CHUNKED_HEAD}1\r\nx\r\n0\r\n`, 'X-Trailer: value\r\n', 200_000),
	'chunk extensions': repeated(CHUNKED_HEAD, '1;name=value\r\nx\r\n', MAXIMUM_BODY_BYTES - 1),
	'pipelined requests to a route without a key': pipelined(`GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`),
	'pipelined requests to no route without a host': pipelined('GET / HTTP/1.1\r\n\r\n'),
	'pipelined requests with a key': pipelined(`GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\n${KEY_HEADER}\r\n`),
	'pipelined POST requests': pipelined(`${POST_HEAD}Content-Length: 1\r\n\r\nx`),
	'pipelined requests with bodies': pipelined(`${POST_HEAD}Content-Length: 20000\r\n\r\n${'x'.repeat(20_000)}`),
};

/** Requests with complete bodies of the maximum size, one after the other. */
export const COMPLETE_BODIES: HostileTraffic = repeated(
	'',
	`${POST_HEAD}Content-Length: ${MAXIMUM_BODY_BYTES}\r\n\r\n${'x'.repeat(MAXIMUM_BODY_BYTES)}`,
	20,
);

let sentKeys = 0;

/** Kinds of clients that send more than one of the above, or what differs from request to request. */
export const VARYING_TRAFFIC: Readonly<Record<string, HostileTraffic>> = {
	'pipelined requests with a new key each': varying(
		() => `GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\nAuthorization: Bearer new-key-${sentKeys++}\r\n\r\n`,
	),
	'pipelined requests with a new identifier each': varying(
		() => `GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\n${KEY_HEADER}X-Request-Id: new-${sentKeys++}\r\n\r\n`,
	),
	'complete bodies of the maximum size': COMPLETE_BODIES,
};

/** Clients that send one kind of traffic, read no responses and keep their connections open. */
export class HostileCrowd {
	private readonly sockets: Socket[] = [];

	private constructor() {}

	/** @returns a crowd without connections */
	public static create(): HostileCrowd {
		return new HostileCrowd();
	}

	/**
	 * Sends the traffic on a number of connections until each has sent all of it or has been closed, or the time has passed.
	 *
	 * @param router to connect to
	 * @param traffic of each connection
	 * @param connections number of connections
	 * @param limitMs maximum time in milliseconds
	 */
	public async run(
		router: PlatformRouterProcess,
		traffic: HostileTraffic,
		connections: number,
		limitMs: number,
	): Promise<void> {
		const end = performance.now() + limitMs;
		await Promise.all(Array.from({ length: connections }, () => send(this.connect(router), traffic, end)));
		await sleep(Math.max(0, end - performance.now()));
	}

	/**
	 * Sends the traffic from several client addresses until the time has passed. A client whose connection has been closed opens
	 * a new one.
	 *
	 * @param router to connect to
	 * @param traffic of each connection
	 * @param localAddresses of the clients, one for each
	 * @param limitMs time in milliseconds
	 */
	public async runPersistently(
		router: PlatformRouterProcess,
		traffic: HostileTraffic,
		localAddresses: readonly string[],
		limitMs: number,
	): Promise<void> {
		const end = performance.now() + limitMs;
		await Promise.all(
			localAddresses.map(async (localAddress) => {
				while (performance.now() < end) {
					const socket = this.connect(router, localAddress);
					await send(socket, traffic, end);
					while (!socket.destroyed && performance.now() < end) {
						await sleep(DRAIN_POLL_MS);
					}
				}
			}),
		);
	}

	private connect({ host, port }: PlatformRouterProcess, localAddress?: string): Socket {
		const socket = createConnection({ host, port, ...(localAddress !== undefined && { localAddress }) });
		this.sockets.push(socket);
		socket.on('error', () => undefined);
		return socket;
	}

	/** Closes all connections. */
	public close(): void {
		this.sockets.splice(0).forEach((socket) => socket.destroy());
	}
}

async function send(socket: Socket, { head, piece, pieces, nextPiece }: HostileTraffic, end: number): Promise<void> {
	socket.write(head);
	const piecesPerWrite = Math.max(1, Math.min(pieces, Math.floor(WRITE_BYTES / piece.length)));
	const nextBlock = (count: number): Buffer => Buffer.concat(Array.from({ length: count }, nextPiece ?? (() => piece)));
	const block = nextBlock(piecesPerWrite);
	for (let sent = 0; sent < pieces && performance.now() < end && !socket.destroyed;) {
		if (socket.writableNeedDrain || socket.connecting) {
			await sleep(DRAIN_POLL_MS);
			continue;
		}
		const count = Math.min(piecesPerWrite, pieces - sent);
		if (nextPiece !== undefined) {
			socket.write(nextBlock(count));
		} else {
			socket.write(count === piecesPerWrite ? block : block.subarray(0, count * piece.length));
		}
		sent += count;
	}
}

function repeated(head: string, piece: string, pieces: number): HostileTraffic {
	return { head, pieces, piece: Buffer.from(piece) };
}

function varying(nextRequest: () => string): HostileTraffic {
	const nextPiece = (): Buffer => Buffer.from(nextRequest());
	return { ...pipelined(nextRequest()), nextPiece };
}

function pipelined(request: string): HostileTraffic {
	return repeated('', request, Math.floor(PIPELINED_BYTES / request.length));
}
