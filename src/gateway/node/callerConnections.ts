import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { IClock } from '../../base/common/clock.js';
import type { MemoryBudget } from '../../base/common/memoryBudget.js';
import { resetConnection } from '../../base/node/brokenResponse.js';
import { closeLingering, discardInput, ignoreFurtherRequests } from '../../base/node/lingeringClose.js';
import type { ArrivalLimits, OverdueArrival } from '../common/requestArrival.js';
import {
	type CallerConnection,
	closeSoon,
	createConnection,
	hasRunning,
	isReceivingBody,
	removeHeaders,
	reportClose,
} from './callerConnection.js';
import type { ConnectionReading } from './chunkPacer.js';

/** Unanswered requests of a connection at which it is not read until some of them are answered. */
const PAUSING_REQUESTS = 4;

/** Unanswered requests of a connection above which it is closed. One read of a socket may bring thousands of requests. */
const MAXIMUM_UNANSWERED_REQUESTS = 32;

/** Bytes of unanswered requests, without their bodies, above which a connection with several of them is closed. */
const MAXIMUM_UNANSWERED_BYTES = 131_072;

/** Memory in bytes that an unanswered request takes in addition to its headers. */
const REQUEST_OVERHEAD_BYTES = 6_144;

/** Memory in bytes that each header field takes in addition to its text: two strings, in a list and in two tables of names. */
const FIELD_OVERHEAD_BYTES = 160;

/**
 * Memory that what has arrived of a head or of trailers takes, relative to its size. The parser holds a single field as it is, and
 * keeps complete ones on the heap, where short ones take ten times their size.
 */
const ARRIVING_MEMORY_FACTOR = 10;

/** Size of a request line without its target, and of the end of the headers. */
const REQUEST_LINE_OVERHEAD_BYTES = 24;

/** Size of the framing of a chunk with up to seven digits. */
const CHUNK_OVERHEAD_BYTES = 11;

/** Bytes up to which what has arrived of a head is not charged; most heads arrive at once. */
const FREE_ARRIVING_BYTES = 1_024;

/** Fraction of the budget up to which requests behind an unanswered one are accepted, which no caller depends on. */
const PIPELINED_FRACTION = 0.5;

/** Fraction of the connections that one client address may have open without having sent a request. */
const SILENT_FRACTION = 0.25;

/** Time in milliseconds for the response in progress of a connection that has exceeded a bound. */
const CLOSING_TIMEOUT_MS = 15_000;

/** What becomes of a request: it is served, it must be refused for want of memory, or its connection is being closed. */
export type ConnectionDecision = 'accepted' | 'no-memory' | 'closing';

/**
 * Bounds what each connection of a caller holds: unanswered requests are counted, charged to the budget and run one after
 * the other, and the connection is not read while there are too many.
 *
 * Load pattern: clients that send thousands of requests on one connection without reading the responses.
 */
export class CallerConnections implements ConnectionReading {
	private readonly connections = new Map<Socket, CallerConnection>();

	private constructor(
		private readonly budget: MemoryBudget,
		private readonly maximum: number,
		private readonly clock: IClock,
		private readonly freeMemory: () => boolean,
	) {}

	/**
	 * @param budget to which unanswered requests are charged
	 * @param maximum number of connections
	 * @param clock source of time
	 * @param freeMemory releases memory of what has not been received completely; returns false when there is none
	 * @returns an instance without connections
	 */
	public static create(
		budget: MemoryBudget,
		maximum: number,
		clock: IClock,
		freeMemory: () => boolean,
	): CallerConnections {
		return new CallerConnections(budget, maximum, clock, freeMemory);
	}

	/** Number of open connections. */
	public get size(): number {
		return this.connections.size;
	}

	/** @param socket of a new connection */
	public add(socket: Socket): void {
		if (socket.destroyed) {
			return;
		}
		const connection = createConnection(socket, this.clock.now());
		this.connections.set(socket, connection);
		// Node calls this after a response that announces the close.
		socket.destroySoon = () => closeSoon(socket, connection);
		socket.on('resume', () => {
			// Node resumes a connection after each request that it has read.
			if (connection.isPaused || connection.isHeld) {
				socket.pause();
			}
		});
		socket.once('close', () => {
			this.connections.delete(socket);
			this.budget.release('request', connection.arrivingBytes);
			connection.arrivingBytes = 0;
			// Node reports the close to the first unanswered response only; the others would be held forever.
			process.nextTick(() => [...connection.unanswered.keys()].forEach(reportClose));
		});
	}

	/**
	 * @param socket of a connection
	 * @returns whether the body of the last request of the connection is still arriving
	 */
	public isReceiving(socket: Socket): boolean {
		const connection = this.connections.get(socket);
		return connection !== undefined && isReceivingBody(connection);
	}

	/**
	 * @param socket of a connection
	 * @returns whether the connection has an unanswered request
	 */
	public isBusy(socket: Socket): boolean {
		return (this.connections.get(socket)?.unanswered.size ?? 0) > 0;
	}

	/**
	 * @param socket of a connection
	 * @returns whether the connection accepts no further request
	 */
	public isEnding(socket: Socket): boolean {
		const connection = this.connections.get(socket);
		return connection === undefined || connection.isEnding || connection.isClosing;
	}

	public hold(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.isHeld = true;
			socket.pause();
		}
	}

	public release(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.isHeld = false;
			if (!connection.isPaused) {
				socket.resume();
			}
		}
	}

	/**
	 * Charges a request until its response is closed.
	 *
	 * @param request received request
	 * @param response to the request
	 * @param headerBytes size of its headers
	 * @returns what becomes of the request; a request of a closing connection must be ignored
	 */
	public accept(request: IncomingMessage, response: ServerResponse, headerBytes: number): ConnectionDecision {
		const { socket } = request;
		const connection = this.connections.get(socket);
		if (connection === undefined || connection.isEnding || connection.isClosing) {
			return 'closing';
		}
		connection.lastRequest = request;
		connection.lastResponse = response;
		connection.arrival.recordHeaders(this.clock.now());
		this.addParsed(socket, connection, headerBytes + request.rawHeaders.length / 2 + REQUEST_LINE_OVERHEAD_BYTES);
		const { unanswered } = connection;
		const bytes = headerBytes + REQUEST_OVERHEAD_BYTES;
		const isFirst = unanswered.size === 0;
		if (!isFirst && this.exceedsBound(connection, bytes)) {
			this.close(socket, connection);
			return 'closing';
		}
		const heldBytes = bytes + (FIELD_OVERHEAD_BYTES * request.rawHeaders.length) / 2;
		let isReserved = this.budget.tryReserve('request', heldBytes);
		while (!isReserved && this.freeMemory()) {
			isReserved = this.budget.tryReserve('request', heldBytes);
		}
		unanswered.set(response, { isRunning: false, run: undefined });
		connection.unansweredBytes += bytes;
		const release = this.releaseOf(isReserved ? heldBytes : 0);
		response.once('close', () => {
			if (request.complete || request.destroyed) {
				release();
			} else {
				// The parser holds the request until its body has arrived or the connection has been closed.
				removeHeaders(request);
				release(REQUEST_OVERHEAD_BYTES);
				request.once('close', () => release());
			}
			connection.unansweredBytes -= bytes;
			unanswered.delete(response);
			if (unanswered.size === 0) {
				connection.arrival.recordAnswer(socket.bytesRead, isReceivingBody(connection));
				if (request.complete) {
					connection.parsedBytes = socket.bytesRead;
				}
			}
			this.proceed(socket, connection);
		});
		if (unanswered.size >= PAUSING_REQUESTS && !connection.isPaused) {
			connection.isPaused = true;
			socket.pause();
		}
		return isReserved ? 'accepted' : 'no-memory';
	}

	public recordChunk(socket: Socket, bytes: number): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			this.addParsed(socket, connection, bytes + CHUNK_OVERHEAD_BYTES);
		}
	}

	/**
	 * Charges the budget for heads and trailers that have not arrived completely. If they do not fit, the largest ones are given
	 * up, and their connections are closed. Called several times a second.
	 *
	 * @returns number of closed connections
	 */
	public chargeArriving(): number {
		const arriving: { readonly socket: Socket; readonly connection: CallerConnection; readonly bytes: number }[] = [];
		for (const [socket, connection] of this.connections) {
			const bytes = socket.bytesRead - connection.parsedBytes;
			const isCharged = bytes > FREE_ARRIVING_BYTES && !connection.isClosing && !connection.isDiscarding;
			if (connection.arrivingBytes > 0) {
				this.budget.release('request', connection.arrivingBytes);
				connection.arrivingBytes = 0;
			}
			if (isCharged) {
				arriving.push({ socket, connection, bytes: bytes * ARRIVING_MEMORY_FACTOR });
			}
		}
		let closed = 0;
		for (const { socket, connection, bytes } of arriving.sort((one, other) => one.bytes - other.bytes)) {
			if (this.budget.tryReserve('request', bytes)) {
				connection.arrivingBytes = bytes;
			} else {
				socket.destroy();
				closed++;
			}
		}
		return closed;
	}

	/**
	 * Closes connections on which no request has arrived within the header timeout, if they are too many for one client
	 * address or if there are few connections left.
	 *
	 * @param now monotonic milliseconds
	 * @param headerTimeoutMs time in milliseconds within which a client must have sent the headers of its request
	 * @param isCrowded whether there are few connections left
	 * @returns number of closed connections
	 */
	public closeSilent(now: number, headerTimeoutMs: number, isCrowded: boolean): number {
		const silentByAddress = new Map<string, Socket[]>();
		for (const [socket, { address, openedAt, lastRequest }] of this.connections) {
			if (lastRequest === undefined && now - openedAt > headerTimeoutMs) {
				const silent = silentByAddress.get(address) ?? [];
				silent.push(socket);
				silentByAddress.set(address, silent);
			}
		}
		let closed = 0;
		for (const silent of silentByAddress.values()) {
			if (isCrowded || silent.length > this.maximum * SILENT_FRACTION) {
				silent.forEach((socket) => socket.destroy());
				closed += silent.length;
			}
		}
		return closed;
	}

	/**
	 * Finds the connections without an unanswered request whose callers do not send what they have begun. Must be called after
	 * all that has arrived has been read.
	 *
	 * @param now monotonic milliseconds
	 * @param limits of the time
	 * @returns the connections, and what is overdue on each
	 */
	public findOverdue(now: number, limits: ArrivalLimits): readonly (readonly [Socket, OverdueArrival])[] {
		return [...this.connections].flatMap(([socket, connection]) => {
			if (connection.isClosing || connection.unanswered.size > 0) {
				return [];
			}
			const overdue = connection.arrival.findOverdue(socket.bytesRead, isReceivingBody(connection), now, limits);
			return overdue === undefined ? [] : [[socket, overdue] as const];
		});
	}

	/**
	 * Ends a connection without an unanswered request with a last response. What arrives on it afterwards is discarded.
	 *
	 * @param socket of the connection
	 * @param lastBytes the last response
	 */
	public endWith(socket: Socket, lastBytes: string): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.isClosing = true;
			connection.isPaused = false;
			connection.isHeld = false;
		}
		closeLingering(socket, lastBytes);
	}

	/**
	 * Accepts no further request on a connection, and closes it after those that have been accepted.
	 *
	 * @param socket of the connection
	 * @param response whose headers are about to be sent
	 * @returns whether it is the last response of the connection
	 */
	public endAfter(socket: Socket, response?: ServerResponse): boolean {
		const connection = this.connections.get(socket);
		if (connection === undefined || connection.isClosing) {
			return true;
		}
		connection.isEnding = true;
		ignoreFurtherRequests(socket);
		return connection.lastResponse === response;
	}

	/**
	 * Discards everything that still arrives on a connection, and closes it after the requests that have been accepted.
	 *
	 * @param socket of a connection whose last request has been received completely or refused
	 */
	public endBehindAccepted(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection === undefined || connection.isClosing) {
			return;
		}
		this.endAfter(socket);
		connection.isPaused = false;
		connection.isHeld = false;
		connection.isDiscarding = true;
		discardInput(socket);
	}

	/**
	 * Runs a request once those before it on its connection have been answered, so that a connection has one at a time.
	 *
	 * @param request accepted request
	 * @param response to the request
	 * @param run starts the request; not called if the connection is closed before
	 */
	public runInOrder({ socket }: IncomingMessage, response: ServerResponse, run: () => void): void {
		const connection = this.connections.get(socket);
		const own = connection?.unanswered.get(response);
		if (connection !== undefined && own !== undefined) {
			own.run = run;
			this.startFirst(socket, connection);
		}
	}

	/** The parser does not tell how far it has read, so what it has passed on is added up; the sum is corrected at rest. */
	private addParsed(socket: Socket, connection: CallerConnection, bytes: number): void {
		connection.parsedBytes = Math.min(socket.bytesRead, connection.parsedBytes + bytes);
	}

	/** Returns a function that releases what is charged for a request, but for a number of bytes. */
	private releaseOf(heldBytes: number): (keptBytes?: number) => void {
		let held = heldBytes;
		return (keptBytes = 0) => {
			const kept = Math.min(held, keptBytes);
			this.budget.release('request', held - kept);
			held = kept;
		};
	}

	private stopReading(socket: Socket, connection: CallerConnection): void {
		connection.isClosing = true;
		connection.isPaused = true;
		ignoreFurtherRequests(socket);
		socket.pause();
		// A regular end would complete a response without a length.
		const timer = setTimeout(() => resetConnection(socket), CLOSING_TIMEOUT_MS);
		socket.once('close', () => clearTimeout(timer));
	}

	private exceedsBound({ unanswered, unansweredBytes }: CallerConnection, bytes: number): boolean {
		return (
			unanswered.size >= MAXIMUM_UNANSWERED_REQUESTS ||
			unansweredBytes + bytes > MAXIMUM_UNANSWERED_BYTES + MAXIMUM_UNANSWERED_REQUESTS * REQUEST_OVERHEAD_BYTES ||
			this.budget.usedBytes + bytes > this.budget.limitBytes * PIPELINED_FRACTION
		);
	}

	/** Closes a connection after the response in progress, or at once if no request of it is running. */
	private close(socket: Socket, connection: CallerConnection): void {
		this.stopReading(socket, connection);
		if (!hasRunning(connection)) {
			socket.destroy();
		}
	}

	private proceed(socket: Socket, connection: CallerConnection): void {
		const isDone = connection.isEnding && connection.unanswered.size === 0;
		if (connection.isClosing || isDone) {
			// Node has already ended a connection whose last response announced the close.
			if (socket.writable && !hasRunning(connection)) {
				socket.destroySoon();
			}
			return;
		}
		this.startFirst(socket, connection);
		if (connection.isPaused && connection.unanswered.size < PAUSING_REQUESTS) {
			connection.isPaused = false;
			if (!connection.isHeld) {
				socket.resume();
			}
		}
	}

	private startFirst(socket: Socket, { unanswered, isClosing }: CallerConnection): void {
		const [entry] = unanswered;
		// The response to a request behind one that has announced the close could not be sent.
		if (isClosing || !socket.writable || entry === undefined) {
			return;
		}
		const [response, first] = entry;
		const { run } = first;
		// A request that has been refused while it waited must not run.
		if (run !== undefined && !response.writableEnded && !response.destroyed) {
			first.run = undefined;
			first.isRunning = true;
			run();
		}
	}
}
