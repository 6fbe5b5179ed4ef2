import { createHash } from 'node:crypto';
import * as http from 'node:http';

/** How a call ended, as its caller sees it. */
export interface CallOutcome {
	/** HTTP status; 0 when no answer began. */
	readonly status: number;
	/** Verdict of the answer; undefined without an answer. */
	readonly verdict: string | undefined;
	/**
	 * - `whole`: a whole answer to this request.
	 * - `refused`: a problem document.
	 * - `broken`: the connection broke, which the caller notices.
	 * - `wrong`: an answer that ended as if whole but is not the whole answer to this request.
	 */
	readonly result: 'whole' | 'refused' | 'broken' | 'wrong';
	/** What was wrong or broken. */
	readonly detail: string;
	/** Seconds after which to retry, where the answer says so. */
	readonly retryAfterSeconds: number | undefined;
}

/** A call of a service through a router. */
export interface ServiceCall {
	readonly router: URL;
	readonly agent: http.Agent;
	readonly token: string;
	/** Service and path, such as `drafts/v1/completions`. */
	readonly path: string;
	readonly body: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** The caller breaks the connection when it hears nothing for this long. */
	readonly timeoutMs?: number;
}

/** The parts of a server-sent event of the model engine that are checked. */
interface CompletionEvent {
	readonly choices: readonly { readonly text: string }[];
	readonly request_id?: string;
	readonly digest?: string;
}

/**
 * Sends a streamed completion and checks that the answer is whole and answers this request: the stand-in ends its
 * stream with the digest of the text and the digest of the request's body.
 *
 * @param call what to send; bodies must differ, since the body's digest identifies the request
 * @param tokens number of tokens that the body asks for
 * @param onTokens called with the number of tokens in each received piece
 * @returns how the call ended; never fails
 */
export function callCompletion(
	call: ServiceCall,
	tokens: number,
	onTokens: (count: number) => void = () => undefined,
): Promise<CallOutcome> {
	const check = new CompletionCheck(createHash('sha256').update(call.body).digest('hex'), tokens);
	return send(
		call,
		(chunk) => {
			const count = check.write(chunk);
			if (count > 0) {
				onTokens(count);
			}
		},
		() => check.fault(),
	);
}

/**
 * Sends a call of a plain service and checks that the answer is whole and answers this request.
 *
 * @param call what to send
 * @returns how the call ended; never fails
 */
export function callPlainService(call: ServiceCall): Promise<CallOutcome> {
	const digest = createHash('sha256').update(call.body).digest('hex');
	let text = '';
	return send(
		call,
		(chunk) => (text += chunk),
		() => {
			try {
				const answer = JSON.parse(text) as { readonly request_digest?: string };
				return answer.request_digest === digest ? '' : 'answer to another request';
			} catch {
				return 'answer is cut';
			}
		},
	);
}

class CompletionCheck {
	private buffered = '';
	private text = '';
	private tokens = 0;
	private last: CompletionEvent | undefined;
	private done = false;

	public constructor(
		private readonly requestId: string,
		private readonly expected: number,
	) {}

	public write(chunk: string): number {
		const before = this.tokens;
		const events = (this.buffered + chunk).split('\n\n');
		this.buffered = events.pop() ?? '';
		for (const event of events) {
			const data = event.slice(event.indexOf('data: ') + 'data: '.length);
			if (data === '[DONE]') {
				this.done = true;
				continue;
			}
			const parsed = JSON.parse(data) as CompletionEvent;
			const choice = parsed.choices[0];
			if (choice === undefined) {
				this.last = parsed;
			} else {
				this.tokens++;
				this.text += choice.text;
			}
		}
		return this.tokens - before;
	}

	public fault(): string {
		if (!this.done) {
			return 'no end marker';
		}
		if (this.last?.request_id !== this.requestId) {
			return 'answer to another request';
		}
		if (this.last.digest !== createHash('sha256').update(this.text).digest('hex')) {
			return 'wrong digest';
		}
		return this.tokens === this.expected ? '' : `${this.tokens} of ${this.expected} tokens`;
	}
}

function send(call: ServiceCall, onChunk: (chunk: string) => void, faultOf: () => string): Promise<CallOutcome> {
	return new Promise((resolve) => {
		const headers = {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(call.body),
			authorization: `Bearer ${call.token}`,
			...call.headers,
		};
		const url = new URL(`/services/${call.path}`, call.router);
		const request = http.request(url, { method: 'POST', agent: call.agent, headers });
		request.on('error', (error) => resolve(broken(0, undefined, error.message)));
		if (call.timeoutMs !== undefined) {
			request.setTimeout(call.timeoutMs, () => request.destroy(new Error('the caller gave up')));
		}
		request.on('response', (response) => {
			const status = response.statusCode ?? 0;
			const verdict = headerOf(response, 'masticloom-verdict');
			const retryAfter = headerOf(response, 'retry-after');
			let parsing: string | undefined;
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				if (status !== 200) {
					return;
				}
				try {
					onChunk(chunk);
				} catch (error) {
					parsing = String(error);
				}
			});
			response.on('error', (error) => resolve(broken(status, verdict, error.message)));
			response.on('end', () => {
				const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
				if (status !== 200) {
					resolve({ status, verdict, result: 'refused', detail: '', retryAfterSeconds });
					return;
				}
				const detail = parsing ?? faultOf();
				resolve({ status, verdict, result: detail === '' ? 'whole' : 'wrong', detail, retryAfterSeconds });
			});
		});
		request.end(call.body);
	});
}

function broken(status: number, verdict: string | undefined, detail: string): CallOutcome {
	return { status, verdict, result: 'broken', detail, retryAfterSeconds: undefined };
}

function headerOf(response: http.IncomingMessage, name: string): string | undefined {
	const value = response.headers[name];
	return typeof value === 'string' ? value : undefined;
}
