import type { LogLevel } from '../../base/common/logLevel.js';

/** An IP address and a port. */
export interface SocketAddress {
	/** IPv4 or IPv6 address, without brackets. */
	readonly host: string;
	/** 0 lets the operating system choose a free port when listening. */
	readonly port: number;
}

/** Paths of the PEM files for mutual TLS. */
export interface TlsSettings {
	/** Certificate of this router, followed by any intermediate certificates. */
	readonly certificate: string;
	/** Private key of the certificate. */
	readonly key: string;
	/** Certificates of the authority that signs the certificates of routers and operators. */
	readonly authority: string;
}

/** Settings of one router process. */
export interface Settings {
	readonly instance: {
		/** Name of this instance, unique in the fleet and equal to its name in the instance list. */
		readonly name: string;
		readonly failureDomain: string;
	};
	readonly callers: { readonly address: SocketAddress };
	readonly peers: { readonly address: SocketAddress };
	readonly admin: { readonly address: SocketAddress };
	readonly platform: {
		readonly storeUrl: string;
		readonly instanceListUrl: string;
	};
	readonly log: { readonly level: LogLevel };
	readonly shutdown: {
		/** Time for which a router continues to accept requests after SIGTERM, in milliseconds. */
		readonly balancerDelayMs: number;
		/** Time after SIGTERM at which the process aborts its requests in progress and exits, in milliseconds. */
		readonly deadlineMs: number;
	};
	/** Undefined only when the peer and admin addresses are loopback addresses. */
	readonly tls: TlsSettings | undefined;
}

/** One reason why settings are invalid. */
export interface SettingsFault {
	/** Undefined when the fault concerns the entire file. */
	readonly section?: string;
	/** Undefined when the fault concerns the entire section. */
	readonly key?: string;
	readonly reason: string;
}

/**
 * @param fault fault to format
 * @returns one line such as `[peers] address: has no port`
 */
export function formatFault(fault: SettingsFault): string {
	if (fault.section === undefined) {
		return fault.key === undefined ? fault.reason : `${fault.key}: ${fault.reason}`;
	}
	return fault.key === undefined
		? `[${fault.section}]: ${fault.reason}`
		: `[${fault.section}] ${fault.key}: ${fault.reason}`;
}

/**
 * @param address IP address and port
 * @returns `host:port`, with brackets around an IPv6 address
 */
export function formatAddress(address: SocketAddress): string {
	return address.host.includes(':') ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}
