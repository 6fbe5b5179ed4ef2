import { Result } from 'true-myth';
import { formatFault, type Settings, type SettingsFault } from '../../settings/common/settings.js';
import { readSettings } from '../../settings/node/parseSettings.js';
import { CertificateStore } from '../../peers/node/certificateStore.js';
import { checkRouterCertificate } from '../../peers/node/peerSecurity.js';

/** Validated settings and certificates. */
export interface StartupInputs {
	readonly settings: Settings;
	/** Undefined when the settings have no section `[tls]`. */
	readonly certificates: CertificateStore | undefined;
}

/**
 * Reads and validates the settings and certificates that the daemon needs to start.
 *
 * @param path path of the settings file
 * @returns settings and certificates, or one line per fault
 */
export function loadStartupInputs(path: string): Result<StartupInputs, readonly string[]> {
	return readSettings(path)
		.andThen((settings) => loadCertificates(settings).map((certificates) => ({ settings, certificates })))
		.mapErr((faults) => faults.map(formatFault));
}

function loadCertificates(settings: Settings): Result<CertificateStore | undefined, readonly SettingsFault[]> {
	if (settings.tls === undefined) {
		return Result.ok(undefined);
	}
	return CertificateStore.create(settings.tls)
		.mapErr((faults) => faults.map(({ key, reason }): SettingsFault => ({ section: 'tls', key, reason })))
		.andThen((store) => {
			const refusal = checkRouterCertificate(store.current.certificate, settings.instance.name);
			return refusal === undefined
				? Result.ok(store)
				: Result.err([{ section: 'tls', key: 'certificate', reason: `peers would refuse it: ${refusal}` }]);
		});
}
