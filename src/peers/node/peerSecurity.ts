import { X509Certificate } from 'node:crypto';
import type { PeerCertificate } from 'node:tls';
import * as grpc from '@grpc/grpc-js';
import type { CertificateStore } from './certificateStore.js';

/** Extended key usage for TLS servers. Among peers, only certificates of routers have it. */
const SERVER_AUTHENTICATION = '1.3.6.1.5.5.7.3.1';

/** Authentication of streams and calls between routers. */
export interface PeerSecurity {
	readonly serverCredentials: () => grpc.ServerCredentials;
	/** The target name of the channel must be the instance name of the called router. */
	readonly clientCredentials: () => grpc.ChannelCredentials;
	/**
	 * Checks the peer that opened a stream or call.
	 *
	 * @param certificate certificate of the peer; undefined without TLS
	 * @param instance instance name that the peer claims; undefined when it claims none
	 * @returns the reason why the peer is refused, or undefined when it is allowed
	 */
	readonly checkPeer: (certificate: PeerCertificate | undefined, instance: string | undefined) => string | undefined;
}

/** Streams without authentication, for loopback addresses only. */
export const INSECURE_PEERS: PeerSecurity = {
	serverCredentials: () => grpc.ServerCredentials.createInsecure(),
	clientCredentials: () => grpc.credentials.createInsecure(),
	checkPeer: () => undefined,
};

/**
 * Authenticates both sides of each stream with certificates of the fleet's authority.
 *
 * @param store certificates of this router
 * @returns functions for the peer network
 */
export function createMutualTls(store: CertificateStore): PeerSecurity {
	return {
		serverCredentials: () => createServerCredentials(store),
		clientCredentials: () => {
			const { authority, key, certificate } = store.current;
			return grpc.credentials.createSsl(authority, key, certificate, {
				checkServerIdentity: (instance, presented) => toError(checkRouterCertificate(presented.raw, instance)),
			});
		},
		checkPeer: (certificate, instance) =>
			certificate === undefined ? 'it presented no certificate' : checkRouterCertificate(certificate.raw, instance),
	};
}

/**
 * Checks that a certificate belongs to a router. The TLS handshake checks that the fleet's authority signed it.
 *
 * @param certificate certificate in DER or PEM format
 * @param instance instance name that the certificate must contain; undefined to accept any router
 * @returns the reason why the certificate is refused, or undefined when it is allowed
 */
export function checkRouterCertificate(certificate: Buffer, instance: string | undefined): string | undefined {
	const parsed = new X509Certificate(certificate);
	// Certificates of operators are signed by the same authority, but must not allow their holders to act as a router.
	if (!extendedKeyUsages(parsed).includes(SERVER_AUTHENTICATION)) {
		return 'its certificate has no extended key usage serverAuth, so it is not a router';
	}
	if (instance !== undefined && parsed.checkHost(instance, { wildcards: false }) === undefined) {
		return `its certificate does not name the instance ${instance}`;
	}
	return undefined;
}

/** Node.js returns undefined for a certificate without the extension, which its type declaration omits. */
function extendedKeyUsages(certificate: { readonly keyUsage?: readonly string[] }): readonly string[] {
	return certificate.keyUsage ?? [];
}

function toError(reason: string | undefined): Error | undefined {
	return reason === undefined ? undefined : new Error(`the peer is refused: ${reason}`);
}

function createServerCredentials(store: CertificateStore): grpc.ServerCredentials {
	const provider = createCertificateProvider(store);
	return grpc.experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

/**
 * Passes the store's certificates to gRPC, at first on the next tick and then after each replacement. The server
 * registers itself after adding these listeners, so it would miss certificates that are delivered synchronously.
 */
function createCertificateProvider(store: CertificateStore): grpc.experimental.CertificateProvider {
	const authorityListeners = new Set<grpc.experimental.CaCertificateUpdateListener>();
	const identityListeners = new Set<grpc.experimental.IdentityCertificateUpdateListener>();
	const authority = (): grpc.experimental.CaCertificateUpdate => ({ caCertificate: store.current.authority });
	const identity = (): grpc.experimental.IdentityCertificateUpdate => ({
		certificate: store.current.certificate,
		privateKey: store.current.key,
	});
	store.onDidChange(() => {
		authorityListeners.forEach((listener) => listener(authority()));
		identityListeners.forEach((listener) => listener(identity()));
	});
	return {
		addCaCertificateListener: (listener) => {
			authorityListeners.add(listener);
			process.nextTick(() => listener(authority()));
		},
		removeCaCertificateListener: (listener) => void authorityListeners.delete(listener),
		addIdentityCertificateListener: (listener) => {
			identityListeners.add(listener);
			process.nextTick(() => listener(identity()));
		},
		removeIdentityCertificateListener: (listener) => void identityListeners.delete(listener),
	};
}
