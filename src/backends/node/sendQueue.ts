import { closeSync, openSync, readSync } from 'node:fs';
import type { Socket } from 'node:net';
import { endianness } from 'node:os';

/** Connections over IPv4 of this network namespace (Linux). */
const CONNECTION_TABLE = '/proc/net/tcp';

const HEXADECIMAL = 16;

/** Number of times that the table is read, since a connection may be missing while others are opened and closed. */
const READINGS = 2;

/** Size of one read; Linux returns whole lines, about a page of them at a time. */
const READ_BYTES = 16_384;

/** Longer than a line, which may be split between two reads. */
const LINE_CHARACTERS = 256;

/** Matches the state and the length of the send queue, which follow the addresses. */
const SEND_QUEUE = /^[0-9A-F]{2} ([0-9A-F]+):/;

/**
 * What the server's host has received of the bytes that were sent on a connection.
 *
 * - `all`: it has acknowledged all of them.
 * - `part`: some are not acknowledged, or the connection has been reset.
 * - `unknown`: the operating system does not tell.
 */
export type Receipt = 'all' | 'part' | 'unknown';

/**
 * Determines whether the other host has received everything that was sent on a connection. Node.js reports bytes as written
 * once the operating system holds them, which accepts megabytes that the other host may never receive. The table is read
 * synchronously, since the state of the connection changes when Node.js has processed its end. Reading all of it takes 3 ms
 * of CPU time with 284 connections and 30 ms with 11,000, so callers ask only when the answer matters.
 *
 * @param socket connection whose sending side has not been ended
 * @returns what the other host has received
 */
export function readReceipt({ localAddress, localPort, remoteAddress, remotePort }: Socket): Receipt {
	const local = formatEndpoint(localAddress, localPort);
	const remote = formatEndpoint(remoteAddress, remotePort);
	if (local === undefined || remote === undefined) {
		return 'unknown';
	}
	const endpoints = ` ${local} ${remote} `;
	let listsAddress = false;
	try {
		for (let reading = 0; reading < READINGS; reading++) {
			const found = findSendQueue(endpoints);
			if (found.queue !== undefined) {
				return Number.parseInt(found.queue, HEXADECIMAL) === 0 ? 'all' : 'part';
			}
			listsAddress ||= found.listsAddress;
		}
	} catch {
		return 'unknown';
	}
	// An open connection is listed until it is reset. A table without the address does not show this network at all.
	return listsAddress ? 'part' : 'unknown';
}

interface SendQueueSearch {
	/** Length of the send queue in hexadecimal; undefined when the connection is not listed. */
	readonly queue: string | undefined;
	/** Whether the table lists other connections or listeners of the local address. */
	readonly listsAddress: boolean;
}

/** Reads the table up to the line with the given addresses. */
function findSendQueue(endpoints: string): SendQueueSearch {
	const localAddress = endpoints.slice(0, endpoints.indexOf(':') + 1);
	let listsAddress = false;
	const buffer = Buffer.allocUnsafe(READ_BYTES);
	const descriptor = openSync(CONNECTION_TABLE, 'r');
	try {
		let text = '';
		for (let bytes = readSync(descriptor, buffer); bytes > 0; bytes = readSync(descriptor, buffer)) {
			text = text.slice(-LINE_CHARACTERS) + buffer.toString('latin1', 0, bytes);
			const at = text.indexOf(endpoints);
			listsAddress ||= text.includes(localAddress);
			const [, queue] = (at < 0 ? undefined : SEND_QUEUE.exec(text.slice(at + endpoints.length))) ?? [];
			if (queue !== undefined) {
				return { queue, listsAddress };
			}
		}
		return { queue: undefined, listsAddress };
	} finally {
		closeSync(descriptor);
	}
}

/** Formats an address as the table does, whose words have the byte order of the machine. */
function formatEndpoint(address: string | undefined, port: number | undefined): string | undefined {
	const bytes = address?.split('.').map(Number) ?? [];
	if (bytes.length !== 4 || port === undefined) {
		return undefined;
	}
	const ordered = endianness() === 'LE' ? bytes.reverse() : bytes;
	return `${ordered.map((byte) => formatHexadecimal(byte, 2)).join('')}:${formatHexadecimal(port, 4)}`;
}

function formatHexadecimal(value: number, digits: number): string {
	return value.toString(HEXADECIMAL).toUpperCase().padStart(digits, '0');
}
