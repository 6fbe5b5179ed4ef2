import type { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { closeLingering } from '../../base/node/lingeringClose.js';
import { RequestArrival } from '../common/requestArrival.js';

/** A request that has been accepted and whose response is not complete. */
export interface UnansweredRequest {
	isRunning: boolean;
	/** Runs the request once those before it have been answered; undefined while it is not ready or when it has run. */
	run: (() => void) | undefined;
}

/** State of one connection of a caller. */
export interface CallerConnection {
	/** Network address of the client, which may be that of a load balancer. */
	readonly address: string;
	readonly openedAt: number;
	readonly arrival: RequestArrival;
	/** Request whose headers were received last. */
	lastRequest: IncomingMessage | undefined;
	lastResponse: ServerResponse | undefined;
	/** In the order of their arrival. */
	readonly unanswered: Map<ServerResponse, UnansweredRequest>;
	unansweredBytes: number;
	/** Bytes received that the parser has passed on, in heads and in parts of bodies. */
	parsedBytes: number;
	/** Memory that is charged for what the parser holds of a head or of trailers that are not complete. */
	arrivingBytes: number;
	/** Not read because of unanswered requests. */
	isPaused: boolean;
	/** Not read because of the pace of its chunks. */
	isHeld: boolean;
	/** What arrives does not reach the parser any more. */
	isDiscarding: boolean;
	/** Closed after the requests that have been accepted. */
	isEnding: boolean;
	/** Closed after the request that is running. */
	isClosing: boolean;
}

/**
 * @param socket of a new connection
 * @param openedAt monotonic milliseconds
 * @returns the state of the connection
 */
export function createConnection(socket: Socket, openedAt: number): CallerConnection {
	return {
		address: socket.remoteAddress ?? '',
		openedAt,
		arrival: RequestArrival.create(openedAt),
		lastRequest: undefined,
		lastResponse: undefined,
		unanswered: new Map(),
		unansweredBytes: 0,
		parsedBytes: 0,
		arrivingBytes: 0,
		isPaused: false,
		isHeld: false,
		isDiscarding: false,
		isEnding: false,
		isClosing: false,
	};
}

/**
 * Removes the header fields of a request that is no longer needed, but remains until its body has arrived.
 *
 * @param request that has been answered
 */
export function removeHeaders(request: IncomingMessage): void {
	request.rawHeaders = [];
	request.headers = {};
}

/**
 * @param connection state of a connection
 * @returns whether the body of the last request of the connection is still arriving
 */
export function isReceivingBody({ lastRequest }: CallerConnection): boolean {
	return lastRequest?.complete === false;
}

/**
 * Closes a connection after its last response, which its caller can read also if it has sent more.
 *
 * @param socket of the connection
 * @param connection state of the connection
 */
export function closeSoon(socket: Socket, connection: CallerConnection): void {
	if (connection.isPaused || connection.isHeld || isReceivingBody(connection)) {
		connection.isPaused = false;
		connection.isHeld = false;
		connection.isDiscarding = true;
		closeLingering(socket);
	} else {
		Socket.prototype.destroySoon.call(socket);
	}
}

/**
 * @param connection state of a connection
 * @returns whether a request of the connection is running
 */
export function hasRunning({ unanswered }: CallerConnection): boolean {
	return [...unanswered.values()].some(({ isRunning }) => isRunning);
}

/**
 * Reports to a response without a connection that it has been closed.
 *
 * @param response that Node does not report the close to
 */
export function reportClose(response: ServerResponse): void {
	response.destroy();
	response.emit('close');
}
