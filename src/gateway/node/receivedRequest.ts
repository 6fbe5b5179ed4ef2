import type { IncomingMessage } from 'node:http';
import { overShareRetryAfterMs } from '../../admission/common/admission.js';
import { connectionOptions, type HeaderFields, singleValue, valuesOf } from '../../base/common/headerFields.js';
import type { LogFields } from '../../base/node/structuredLog.js';
import type { IngressLimits } from '../../routing/common/model.js';
import type { RouteTable, RoutingResult } from '../../routing/common/routeTable.js';
import type { ShareStatus } from '../../shares/common/fleetShares.js';
import type { AcceptedRequest } from '../common/acceptedRequest.js';
import type { IngressFields } from '../common/ingress.js';
import type { LocalResponse } from './gatewayResponse.js';

/** A response that tells a caller that its request has not run. */
export type Refusal = Omit<LocalResponse, 'verdict'>;

/** Overdraft of requests that take streams up, as the time in which the account's rate accrues it. */
const RESUMPTION_OVERDRAFT_MS = 800;

/** Size of the separator and the line end of a header field. A caller need not send a space before the value. */
const BYTES_PER_HEADER = 3;

const TOO_MANY_REQUESTS = 429;

/**
 * A request that takes a stream up goes on with work that was admitted when it began, so it may overdraw the credit of its
 * account.
 *
 * @param fields of the request
 * @param routing of the request
 * @returns the overdraft, as the time in milliseconds in which the account's rate accrues it
 */
export function overdraftMs({ resumption }: IngressFields, { route }: RoutingResult): number {
	return resumption !== undefined && route.resumable ? RESUMPTION_OVERDRAFT_MS : 0;
}

/**
 * @param fields of the request
 * @param routing of the request
 * @param status of the account's share
 * @returns the refusal of a request whose account has used its share
 */
export function overShareRefusal(
	{ deadlineMs }: IngressFields,
	{ route }: RoutingResult,
	{ throttledMs }: ShareStatus,
): Refusal {
	const limits = { aimMs: route.aimMs, deadlineLeftMs: deadlineMs ?? route.timeoutMs };
	return {
		status: TOO_MANY_REQUESTS,
		code: 'over-share',
		retryAfterMs: overShareRetryAfterMs(throttledMs, limits),
	};
}

/**
 * @param status of an account's share
 * @returns what a refusal for the share is based on, for the log
 */
export function formatShareStatus({ level, rate, credit, offeredShare, usedShare }: ShareStatus): LogFields {
	return {
		level: Math.round(level),
		rate: Math.round(rate),
		credit: Math.round(credit),
		offeredShare: Number(offeredShare.toFixed(2)),
		usedShare: Number(usedShare.toFixed(2)),
	};
}

/**
 * @param request received request
 * @param table routes in force at its arrival
 * @param parts what is known of the request apart from its HTTP message
 * @returns the request as handlers run it
 */
export function createAcceptedRequest(
	{ method = 'GET' }: IncomingMessage,
	table: RouteTable,
	parts: Pick<
		AcceptedRequest,
		| 'host'
		| 'target'
		| 'fields'
		| 'headers'
		| 'routing'
		| 'body'
		| 'retainBody'
		| 'arrivedAt'
		| 'elapsedBeforeMs'
		| 'shareGrant'
	>,
): AcceptedRequest {
	return {
		...parts,
		configurationVersion: table.configuration.version,
		engine: table.service(parts.routing.service)?.engine,
		method,
	};
}

/**
 * @param table routes in force
 * @param requestTarget what the request is addressed to
 * @param fields of the request
 * @returns route and account of the request, or why there is none
 */
export function findRouting(
	table: RouteTable,
	{ host, target }: RequestTarget,
	fields: IngressFields,
): ReturnType<RouteTable['find']> {
	const queryAt = target.indexOf('?');
	return table.find({
		id: fields.id,
		host,
		path: queryAt < 0 ? target : target.slice(0, queryAt),
		key: fields.key,
	});
}

/** Target in absolute form, which servers must accept (RFC 9112, section 3.2.2): authority, then path and query. */
const ABSOLUTE_TARGET = /^https?:\/\/([^/?#]+)([^]*)$/i;

/** What a request is addressed to. */
export interface RequestTarget {
	readonly host: string;
	/** Path and query. */
	readonly target: string;
}

/**
 * @param url target of the request line
 * @param headers of the request
 * @returns host and target in the form for servers; the host of a target in absolute form replaces the header
 */
export function targetOf(url = '/', headers: HeaderFields): RequestTarget {
	const [, authority, rest = ''] = ABSOLUTE_TARGET.exec(url) ?? [];
	return authority === undefined
		? { host: singleValue(headers.host) ?? '', target: url }
		: { host: authority, target: rest.startsWith('/') ? rest : `/${rest}` };
}

/**
 * @param headers of a request
 * @returns whether the caller would change to another protocol behind the request, which this router does not
 */
export function offersOtherProtocol(headers: HeaderFields): boolean {
	return headers.upgrade !== undefined && connectionOptions(headers).has('upgrade');
}

/**
 * @param rawHeaders names and values in turn
 * @returns size of the headers in bytes
 */
export function headerBytes(rawHeaders: readonly string[]): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}
	return bytes + (rawHeaders.length / 2) * BYTES_PER_HEADER;
}

/**
 * Finds what makes a request invalid before its route is known.
 *
 * @param httpVersion of the request line
 * @param headers of the request
 * @param sizeOfHeaders in bytes
 * @param limits of the configuration
 * @param singleHeaders headers that the platform allows only once
 * @returns the refusal of the request; undefined when it is valid
 */
export function findInvalidity(
	httpVersion: string,
	headers: HeaderFields,
	sizeOfHeaders: number,
	limits: IngressLimits,
	singleHeaders: readonly string[],
): Refusal | undefined {
	if (sizeOfHeaders > limits.maximumHeaderBytes) {
		return { status: 431, code: 'header-too-large' };
	}
	if (headers.host === undefined && httpVersion === '1.1') {
		return { status: 400, code: 'no-host', closesConnection: true };
	}
	// The router and a server could rely on different values. A repeated host is never valid (RFC 9112, section 3.2).
	const isAmbiguous = [...singleHeaders, 'authorization'].some(
		(name) => headers[name] !== undefined && singleValue(headers[name]) === undefined,
	);
	if (isAmbiguous || valuesOf(headers.host).length > 1) {
		return { status: 400, code: 'repeated-header' };
	}
	return valuesOf(headers.expect).some((value) => value.toLowerCase() !== '100-continue')
		? { status: 417, code: 'unknown-expectation' }
		: undefined;
}
