import { randomBytes } from 'node:crypto';
import * as http from 'node:http';
import { signatureOf } from '../../standins/usersPlatform/promptEngine.js';
import { HOST, apiKeyOf, type RequestKind, ROUTES } from '../../standins/usersPlatform/usersPlatform.js';
import { pollUntil, rejectIfExited } from '../fleet/processes.js';
import type { PlatformRouterProcess } from './platformFleet.js';

/** Time for which a router may refuse ordinary requests after a crowd has left. */
const ANSWER_TIMEOUT_MS = 30_000;

/** How a request ended, as its caller observed it. */
export interface CallResult {
	readonly id: string;
	readonly kind: RequestKind;
	/** HTTP status; 0 when the connection ended without a response. */
	readonly status: number;
	readonly retryAfterSeconds: number | undefined;
	/** Whether the response is complete according to its HTTP framing. */
	readonly whole: boolean;
	/** What is wrong with a complete response with status 200; undefined when nothing is wrong. */
	readonly fault: string | undefined;
	readonly totalMs: number;
	/** Number of the last event of a stream that was received; 0 when there was none. */
	readonly lastEvent: number;
	/** Time to the first bytes of the body in milliseconds; undefined when there were none. */
	readonly firstBytesMs: number | undefined;
}

/** A request and the router that it is sent to. */
export interface CallOptions {
	/** Identifier of the request; a random one by default. */
	readonly id?: string;
	readonly kind: RequestKind;
	readonly account: string;
	/** IP address and port of a router. */
	readonly host: string;
	readonly port: number;
	readonly deadlineMs?: number;
	/** Prompt tokens after the shared document. */
	readonly promptTokens?: number;
	/** Tokens of the output. */
	readonly outputTokens?: number;
	/** Number of the document that the prompt shares with other requests. */
	readonly document?: number;
	/** Agent whose connections are reused; without it the request opens its own connection. */
	readonly agent?: http.Agent;
	readonly path?: string;
	/** Body of the request; a different one for each request by default. */
	readonly body?: string;
	/** Pause in milliseconds after each part of the response that is read; none by default. */
	readonly readPauseMs?: number;
	/** Stream of an earlier attempt that the request takes up. */
	readonly resumption?: { readonly firstAttempt: string; readonly lastEvent: number };
}

const DOCUMENT_TOKENS = 2_000;
const OUTPUT_TOKENS = 40;
const TOKENS_PER_EVENT = 5;
const DEADLINE_MS = 5_000;

/**
 * Sends a request like a caller of the platform, and checks the response.
 *
 * @param options the request, and the router to send it to
 * @returns how the request ended; never rejects
 */
export function callRouter(options: CallOptions): Promise<CallResult> {
	const id = options.id ?? randomBytes(8).toString('hex');
	const path = options.path ?? `${ROUTES[options.kind].prefix}${options.document ?? 0}`;
	const isStream = ROUTES[options.kind].type === 'streaming';
	const outputTokens = options.outputTokens ?? OUTPUT_TOKENS;
	const ownTokens = options.promptTokens ?? 300;
	const startedAt = performance.now();
	const headers: http.OutgoingHttpHeaders = {
		host: HOST,
		authorization: `Bearer ${apiKeyOf(options.account)}`,
		'x-request-id': id,
		'x-deadline-ms': options.deadlineMs ?? DEADLINE_MS,
	};
	if (isStream) {
		headers['x-model'] = 'm';
		headers['x-token-usage'] = `${DOCUMENT_TOKENS + ownTokens},${outputTokens}`;
		headers['x-prefix-hash'] = `d${options.document ?? 0}:${DOCUMENT_TOKENS},${id}:${ownTokens}`;
	}
	const { resumption } = options;
	if (resumption !== undefined) {
		headers.resumes = resumption.firstAttempt;
		headers['last-event-id'] = String(resumption.lastEvent);
	}
	const firstEvent = (resumption?.lastEvent ?? 0) + 1;
	return new Promise((resolve) => {
		let body = '';
		let firstBytesMs: number | undefined;
		const finish = (response: http.IncomingMessage | undefined): void => {
			const status = response?.statusCode ?? 0;
			const whole = response?.complete === true;
			const signature = response?.headers['x-signature'];
			const retryAfter = response?.headers['retry-after'];
			resolve({
				id,
				kind: options.kind,
				status,
				whole,
				firstBytesMs,
				lastEvent: eventNumbers(body).at(-1) ?? 0,
				retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
				fault:
					status === 200 && whole
						? findFault(
								id,
								path,
								signature,
								isStream ? { body, firstEvent, lastEvent: Math.ceil(outputTokens / TOKENS_PER_EVENT) } : undefined,
							)
						: undefined,
				totalMs: performance.now() - startedAt,
			});
		};
		const method = options.kind === 'lookup' ? 'GET' : 'POST';
		const request = http.request({
			path,
			method,
			headers,
			host: options.host,
			port: options.port,
			agent: options.agent ?? false,
		});
		request.on('error', () => finish(undefined));
		request.on('response', (response) => {
			response.on('data', (chunk: Buffer) => {
				firstBytesMs ??= performance.now() - startedAt;
				body += chunk.toString();
				if (options.readPauseMs !== undefined) {
					response.pause();
					setTimeout(() => response.resume(), options.readPauseMs);
				}
			});
			response.on('error', () => undefined);
			response.on('close', () => finish(response));
		});
		request.end(method === 'POST' ? (options.body ?? `body of ${id}`) : undefined);
	});
}

function findFault(
	id: string,
	path: string,
	signature: string | readonly string[] | undefined,
	stream: { readonly body: string; readonly firstEvent: number; readonly lastEvent: number } | undefined,
): string | undefined {
	if (signature !== signatureOf(id, path)) {
		return 'the signature belongs to another request';
	}
	if (stream === undefined) {
		return undefined;
	}
	const { firstEvent, lastEvent } = stream;
	const numbers = eventNumbers(stream.body);
	const isComplete =
		numbers.length === lastEvent - firstEvent + 1 && numbers.every((number, index) => number === firstEvent + index);
	return isComplete ? undefined : `events ${numbers.join(',')} of ${firstEvent} to ${lastEvent}`;
}

/** Numbers of the events that have been received completely. */
function eventNumbers(body: string): readonly number[] {
	return [...body.matchAll(/^id: (\d+)\n.*\n\n/gm)].map(([, number]) => Number(number));
}

/**
 * Sends ordinary requests one after the other until one is answered.
 *
 * @param router that receives the requests
 * @returns a promise that is rejected when none is answered in time, or the router has ended
 */
export async function waitForAnswer({ host, port, program }: PlatformRouterProcess): Promise<void> {
	const answer = pollUntil(ANSWER_TIMEOUT_MS, 'an ordinary request is answered', async () => {
		const { status } = await callRouter({ host, port, kind: 'lookup', account: 'harbour' });
		return status === 200 ? true : `status ${status}`;
	});
	await rejectIfExited(program, answer);
}
