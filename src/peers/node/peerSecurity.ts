import { X509Certificate } from 'node:crypto';
import type { PeerCertificate } from 'node:tls';
import * as grpc from '@grpc/grpc-js';
import type { CertificateStore } from './certificateStore.js';

/** Extended key usage of certificates that may act as a server, which among peers means as a router. */
const SERVER_AUTHENTICATION = '1.3.6.1.5.5.7.3.1';

/** How streams between routers are authenticated. */
export interface PeerSecurity {
	readonly serverCredentials: () => grpc.ServerCredentials;
	/** The target name of the channel must be the instance name of the router that is to answer. */
	readonly clientCredentials: () => grpc.ChannelCredentials;
	/**
	 * Checks who opened a stream or call.
	 *
	 * @param certificate certificate of the other side; undefined without TLS
	 * @param instance name that the other side claims; undefined when it claims none
	 * @returns why it is refused, or undefined when it is allowed
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
 * Checks that a certificate belongs to a router. That an authority of the fleet signed it is checked by the handshake.
 *
 * @param certificate DER or PEM form
 * @param instance name that the certificate must carry; undefined when any router will do
 * @returns why it is refused, or undefined when it is allowed
 */
export function checkRouterCertificate(certificate: Buffer, instance: string | undefined): string | undefined {
	const parsed = new X509Certificate(certificate);
	// An operator's certificate has the same authority, but must not let its holder act as a router.
	if (!usagesOf(parsed).includes(SERVER_AUTHENTICATION)) {
		return 'its certificate has no extended key usage serverAuth, so it is not a router';
	}
	if (instance !== undefined && parsed.checkHost(instance, { wildcards: false }) === undefined) {
		return `its certificate does not name the instance ${instance}`;
	}
	return undefined;
}

/** Node.js returns undefined without the extension, which its type leaves out. */
function usagesOf(certificate: { readonly keyUsage?: readonly string[] }): readonly string[] {
	return certificate.keyUsage ?? [];
}

function toError(reason: string | undefined): Error | undefined {
	return reason === undefined ? undefined : new Error(`the peer is refused: ${reason}`);
}

function createServerCredentials(store: CertificateStore): grpc.ServerCredentials {
	const provider = createProvider(store);
	return grpc.experimental.createCertificateProviderServerCredentials(provider, provider, true);
}

/**
 * Passes the store's certificates on to gRPC, first in the next turn and then after each replacement. The server
 * registers itself after these listeners, so it would miss certificates that arrive at once.
 */
function createProvider(store: CertificateStore): grpc.experimental.CertificateProvider {
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
