import { createHash } from 'node:crypto';
import * as http from 'node:http';

/** How a call ended, as its caller observed it. */
export interface CallOutcome {
	/** HTTP status; 0 when no response was received. */
	readonly status: number;
	/** Value of the header `masticloom-verdict`; undefined when the response has none. */
	readonly verdict: string | undefined;
	/**
	 * - `whole`: the complete response to this request.
	 * - `refused`: a response with a status other than 200.
	 * - `broken`: a connection error, so the caller knows that the response is incomplete.
	 * - `wrong`: a response that ended normally but is incomplete or belongs to another request.
	 */
	readonly result: 'whole' | 'refused' | 'broken' | 'wrong';
	/** Cause of a `broken` or `wrong` result; empty otherwise. */
	readonly detail: string;
	/** Value of the header `retry-after` in seconds; undefined when the response has none. */
	readonly retryAfterSeconds: number | undefined;
}

/** A call to a service through a router. */
export interface ServiceCall {
	readonly router: URL;
	readonly agent: http.Agent;
	readonly token: string;
	/** Service and path, such as `drafts/v1/completions`. */
	readonly path: string;
	readonly body: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** The caller closes the connection when it is idle for this long; no timeout when absent. */
	readonly timeoutMs?: number;
}

/** The fields of a server-sent event of the model engine that are checked. */
interface CompletionEvent {
	readonly choices: readonly { readonly text: string }[];
	readonly request_id?: string;
	readonly digest?: string;
}

/**
 * Sends a streamed completion, and checks that the response is complete and belongs to this request: the stand-in ends
 * its stream with the digest of the text and the digest of the request body.
 *
 * @param call what to send; each body must be unique, since its digest identifies the request
 * @param tokens number of tokens that the body requests
 * @param onTokens called with the number of tokens in each received chunk
 * @returns how the call ended; never rejects
 */
export function callCompletion(
	call: ServiceCall,
	tokens: number,
	onTokens: (count: number) => void = () => undefined,
): Promise<CallOutcome> {
	const verifier = new CompletionVerifier(createHash('sha256').update(call.body).digest('hex'), tokens);
	return send(
		call,
		(chunk) => {
			const count = verifier.write(chunk);
			if (count > 0) {
				onTokens(count);
			}
		},
		() => verifier.findFault(),
	);
}

/**
 * Sends a call to a plain service, and checks that the response is complete and belongs to this request.
 *
 * @param call what to send
 * @returns how the call ended; never rejects
 */
export function callPlainService(call: ServiceCall): Promise<CallOutcome> {
	const digest = createHash('sha256').update(call.body).digest('hex');
	let text = '';
	return send(
		call,
		(chunk) => (text += chunk),
		() => {
			try {
				const response = JSON.parse(text) as { readonly request_digest?: string };
				return response.request_digest === digest ? '' : 'response to another request';
			} catch {
				return 'response is cut';
			}
		},
	);
}

class CompletionVerifier {
	private buffered = '';
	private text = '';
	private tokens = 0;
	private lastEvent: CompletionEvent | undefined;
	private isDone = false;

	public constructor(
		private readonly requestId: string,
		private readonly expectedTokens: number,
	) {}

	public write(chunk: string): number {
		const before = this.tokens;
		const events = (this.buffered + chunk).split('\n\n');
		this.buffered = events.pop() ?? '';
		for (const event of events) {
			const data = event.slice(event.indexOf('data: ') + 'data: '.length);
			if (data === '[DONE]') {
				this.isDone = true;
				continue;
			}
			const parsed = JSON.parse(data) as CompletionEvent;
			const choice = parsed.choices[0];
			if (choice === undefined) {
				this.lastEvent = parsed;
			} else {
				this.tokens++;
				this.text += choice.text;
			}
		}
		return this.tokens - before;
	}

	public findFault(): string {
		if (!this.isDone) {
			return 'no end marker';
		}
		if (this.lastEvent?.request_id !== this.requestId) {
			return 'response to another request';
		}
		if (this.lastEvent.digest !== createHash('sha256').update(this.text).digest('hex')) {
			return 'wrong digest';
		}
		return this.tokens === this.expectedTokens ? '' : `${this.tokens} of ${this.expectedTokens} tokens`;
	}
}

function send(call: ServiceCall, onChunk: (chunk: string) => void, findFault: () => string): Promise<CallOutcome> {
	return new Promise((resolve) => {
		const headers = {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(call.body),
			authorization: `Bearer ${call.token}`,
			...call.headers,
		};
		const url = new URL(`/services/${call.path}`, call.router);
		const request = http.request(url, { method: 'POST', agent: call.agent, headers });
		request.on('error', (error) => resolve(createBrokenOutcome(0, undefined, error.message)));
		if (call.timeoutMs !== undefined) {
			request.setTimeout(call.timeoutMs, () => request.destroy(new Error('the caller timed out')));
		}
		request.on('response', (response) => {
			const status = response.statusCode ?? 0;
			const verdict = getHeader(response, 'masticloom-verdict');
			const retryAfter = getHeader(response, 'retry-after');
			let parseError: string | undefined;
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				if (status !== 200) {
					return;
				}
				try {
					onChunk(chunk);
				} catch (error) {
					parseError = String(error);
				}
			});
			response.on('error', (error) => resolve(createBrokenOutcome(status, verdict, error.message)));
			response.on('end', () => {
				const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
				if (status !== 200) {
					resolve({ status, verdict, result: 'refused', detail: '', retryAfterSeconds });
					return;
				}
				const detail = parseError ?? findFault();
				resolve({ status, verdict, result: detail === '' ? 'whole' : 'wrong', detail, retryAfterSeconds });
			});
		});
		request.end(call.body);
	});
}

function createBrokenOutcome(status: number, verdict: string | undefined, detail: string): CallOutcome {
	return { status, verdict, result: 'broken', detail, retryAfterSeconds: undefined };
}

function getHeader(response: http.IncomingMessage, name: string): string | undefined {
	const value = response.headers[name];
	return typeof value === 'string' ? value : undefined;
}
