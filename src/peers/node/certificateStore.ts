import { X509Certificate } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { Effect } from 'effect';
import { Result } from 'true-myth';
import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/lifecycle.js';
import { getLogger } from '../../base/node/log.js';

// Certificates are replaced hours before they expire, so a delay of a few seconds is harmless.
const RELOAD_INTERVAL_MS = 5_000;

const log = getLogger('tls');

/** Paths of the PEM files for mutual TLS. */
export interface CertificatePaths {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
}

/** Contents of the PEM files, validated to match each other. */
export interface Certificates {
	readonly certificate: Buffer;
	readonly key: Buffer;
	readonly authority: Buffer;
	/** First certificate of the certificate file. */
	readonly leaf: X509Certificate;
}

/** Reason why a PEM file cannot be used; `key` is the setting with its path. */
export interface CertificateFault {
	readonly key: keyof CertificatePaths;
	readonly reason: string;
}

/** Holds this router's certificates and reloads them when their files are replaced. */
export class CertificateStore extends Disposable {
	private readonly changeEmitter = this.register(Emitter.create<Certificates>());
	private lastFaults = '';

	/** Fires with new certificates after their files were replaced. */
	public readonly onDidChange = this.changeEmitter.event;

	private constructor(
		private readonly paths: CertificatePaths,
		private certificates: Certificates,
	) {
		super();
	}

	/**
	 * Loads the files for the first time.
	 *
	 * @param paths PEM files
	 * @returns the store, or all reasons why the files cannot be used
	 */
	public static create(paths: CertificatePaths): Result<CertificateStore, readonly CertificateFault[]> {
		return loadCertificates(paths).map((certificates) => new CertificateStore(paths, certificates));
	}

	/** Certificates in use. */
	public get current(): Certificates {
		return this.certificates;
	}

	/** Reloads the files. Files that do not match each other are ignored, since their replacement may be in progress. */
	public reload(): void {
		const loaded = loadCertificates(this.paths);
		if (loaded.isErr) {
			const faults = loaded.error.map((fault) => `${fault.key} ${fault.reason}`).join('; ');
			if (faults !== this.lastFaults) {
				log.warn(`The certificate files cannot be used; the current certificates stay in use: ${faults}.`);
			}
			this.lastFaults = faults;
			return;
		}
		this.lastFaults = '';
		if (areEqual(loaded.value, this.certificates)) {
			return;
		}
		this.certificates = loaded.value;
		log.info(`The certificates were replaced; the new one is valid until ${loaded.value.leaf.validTo}.`);
		this.changeEmitter.fire(loaded.value);
	}

	/** @returns an effect that reloads the files periodically until interrupted */
	public reloadPeriodically(): Effect.Effect<never> {
		return Effect.forever(
			Effect.andThen(
				Effect.sleep(RELOAD_INTERVAL_MS),
				Effect.sync(() => this.reload()),
			),
		);
	}
}

function loadCertificates(paths: CertificatePaths): Result<Certificates, readonly CertificateFault[]> {
	const faults: CertificateFault[] = [];
	const read = (key: keyof CertificatePaths): Buffer => {
		try {
			return readFileSync(paths[key]);
		} catch (error) {
			faults.push({ key, reason: `cannot be read: ${(error as Error).message}` });
			return Buffer.alloc(0);
		}
	};
	const certificate = read('certificate');
	const key = read('key');
	const authority = read('authority');
	if (faults.length > 0) {
		return Result.err(faults);
	}
	const leaf = parseCertificate(certificate, 'certificate', faults);
	parseCertificate(authority, 'authority', faults);
	if (leaf === undefined || faults.length > 0) {
		return Result.err(faults);
	}
	if (Date.parse(leaf.validTo) <= Date.now()) {
		return Result.err([{ key: 'certificate', reason: `expired on ${leaf.validTo}` }]);
	}
	try {
		createSecureContext({ cert: certificate, key, ca: authority });
	} catch (error) {
		return Result.err([{ key: 'key', reason: `does not match the certificate: ${(error as Error).message}` }]);
	}
	return Result.ok({ certificate, key, authority, leaf });
}

function parseCertificate(
	pem: Buffer,
	key: keyof CertificatePaths,
	faults: CertificateFault[],
): X509Certificate | undefined {
	try {
		return new X509Certificate(pem);
	} catch (error) {
		faults.push({ key, reason: `contains no certificate in PEM format: ${(error as Error).message}` });
		return undefined;
	}
}

function areEqual(first: Certificates, second: Certificates): boolean {
	return (
		first.certificate.equals(second.certificate) &&
		first.key.equals(second.key) &&
		first.authority.equals(second.authority)
	);
}
