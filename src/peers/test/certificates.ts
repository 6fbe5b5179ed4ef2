import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { generate } from 'selfsigned';
import type { CertificatePaths } from '../node/certificateStore.js';

/** Key and certificate in PEM format. */
export interface KeyPair {
	readonly private: string;
	readonly cert: string;
}

/** @returns an authority that can sign certificates */
export async function makeAuthority(name = 'fleet authority'): Promise<KeyPair> {
	return generate([{ name: 'commonName', value: name }], {
		keyType: 'ec',
		algorithm: 'sha256',
		extensions: [
			{ name: 'basicConstraints', cA: true, critical: true },
			{ name: 'keyUsage', keyCertSign: true, critical: true },
		],
	});
}

/**
 * @param authority signs the certificate
 * @param name instance name of a router, or name of an operator
 * @param role routers may act as servers and clients, operators only as clients
 * @returns a certificate
 */
export async function makeCertificate(
	authority: KeyPair,
	name: string,
	role: 'router' | 'operator' = 'router',
): Promise<KeyPair> {
	return generate([{ name: 'commonName', value: name }], {
		keyType: 'ec',
		algorithm: 'sha256',
		ca: { key: authority.private, cert: authority.cert },
		extensions: [
			{ name: 'basicConstraints', cA: false },
			{ name: 'extKeyUsage', clientAuth: true, serverAuth: role === 'router' },
			{ name: 'subjectAltName', altNames: [{ type: 2, value: name }] },
		],
	});
}

/** A folder for certificates that is removed after use. */
export interface CertificateFolder {
	/** Writes the files, replacing existing ones. */
	readonly write: (name: string, pair: KeyPair, authority: KeyPair) => CertificatePaths;
	/** Writes another file and returns its path. */
	readonly writeText: (name: string, text: string) => string;
	readonly remove: () => void;
}

/** @returns an empty folder */
export function makeCertificateFolder(): CertificateFolder {
	const folder = mkdtempSync(join(tmpdir(), 'masticloom-tls-'));
	return {
		write: (name, pair, authority) => {
			const paths = {
				certificate: join(folder, `${name}.pem`),
				key: join(folder, `${name}.key`),
				authority: join(folder, `${name}-authority.pem`),
			};
			writeFileSync(paths.certificate, pair.cert);
			writeFileSync(paths.key, pair.private);
			writeFileSync(paths.authority, authority.cert);
			return paths;
		},
		writeText: (name, text) => {
			const path = join(folder, name);
			writeFileSync(path, text);
			return path;
		},
		remove: () => rmSync(folder, { recursive: true, force: true }),
	};
}
