import type { Socket } from 'node:net';

/** Time in milliseconds for which the bytes of a caller are discarded, so that it can read the last response. */
const LINGER_MS = 2_000;

/** Part of Node's HTTP parser; a connection has the parser in an undocumented property. */
interface RequestParser {
	onIncoming?: () => number;
}

/**
 * Drops all further requests of a connection. The parser may have the rest of a read with thousands of requests, whose objects
 * would otherwise be held until the close.
 *
 * @param socket of an HTTP server
 */
export function ignoreFurtherRequests(socket: Socket): void {
	const { parser } = socket as Socket & { parser?: RequestParser };
	if (parser) {
		parser.onIncoming = () => 0;
	}
}

/**
 * Detaches a connection from the parser, and discards what its caller still sends.
 *
 * @param socket of an HTTP server, whose last request has been received completely or is given up
 */
export function discardInput(socket: Socket): void {
	ignoreFurtherRequests(socket);
	// Node detaches its parser from a socket that has a listener for data.
	socket.removeAllListeners('data');
	socket.on('data', () => undefined);
	socket.resume();
}

/**
 * Ends the sending side of a connection and discards what its caller still sends, until the caller closes it too or a time limit
 * has passed. A connection that is closed with unread bytes is reset, and its caller may lose the last response; one whose
 * receiving side stays attached to the parser would run what arrives.
 *
 * @param socket of an HTTP server
 * @param lastBytes sent before the end
 */
export function closeLingering(socket: Socket, lastBytes = ''): void {
	discardInput(socket);
	socket.end(lastBytes);
	const timer = setTimeout(() => socket.destroy(), LINGER_MS);
	socket.once('close', () => clearTimeout(timer));
}
