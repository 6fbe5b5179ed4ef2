import * as https from 'node:https';
import type { CertificateStore, Certificates } from '../../peers/node/certificateStore.js';
import type { HttpServerFactory } from './adminServer.js';

/**
 * Creates a factory of servers that accept only clients with a certificate of the fleet's certificate authority.
 *
 * @param store certificates of this router; replacements apply to new connections
 * @returns the factory
 */
export function createTlsServerFactory(store: CertificateStore): HttpServerFactory {
	return (handler) => {
		const server = https.createServer(
			{ ...toContext(store.current), requestCert: true, rejectUnauthorized: true, minVersion: 'TLSv1.3' },
			handler,
		);
		const subscription = store.onDidChange((certificates) => server.setSecureContext(toContext(certificates)));
		server.on('close', () => subscription.dispose());
		return server;
	};
}

function toContext({ certificate, key, authority }: Certificates): https.ServerOptions {
	return { cert: certificate, key, ca: authority };
}
