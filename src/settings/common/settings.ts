import type { LogLevel } from '../../base/common/logLevel.js';

/** An IP address and a port. */
export interface SocketAddress {
	/** IPv4 or IPv6 address, without brackets. */
	readonly host: string;
	/** 0 lets the system choose a free port when listening. */
	readonly port: number;
}

/** Paths of the PEM files for mutual TLS. */
export interface TlsSettings {
	/** This router's certificate, followed by intermediate certificates if there are any. */
	readonly certificate: string;
	/** Private key of the certificate. */
	readonly key: string;
	/** Certificates of the authority that signs routers' and operators' certificates. */
	readonly authority: string;
}

/** The settings of one router process. */
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
		/** How long a router goes on accepting after SIGTERM, in milliseconds. */
		readonly balancerDelayMs: number;
		/** Time from SIGTERM until the process ends even with requests in progress, in milliseconds. */
		readonly deadlineMs: number;
	};
	/** Undefined only when the peer and admin addresses are loopback addresses. */
	readonly tls: TlsSettings | undefined;
}

/** One reason why settings are refused. */
export interface SettingsFault {
	/** Undefined when the fault concerns the file as a whole. */
	readonly section?: string;
	/** Undefined when the fault concerns the section as a whole. */
	readonly key?: string;
	readonly reason: string;
}

/**
 * @param fault reason for a refusal
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
