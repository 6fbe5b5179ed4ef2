/** One thing that is wrong with a configuration. */
export interface ConfigurationFault {
	/** Where it is, such as `accounts[3].share`; empty for the whole document. */
	readonly path: string;
	readonly reason: string;
}

/** @returns the path of a member of a document in the usual notation */
export function formatPath(path: readonly PropertyKey[]): string {
	return path
		.map((step) => (typeof step === 'number' ? `[${step}]` : `.${String(step)}`))
		.join('')
		.replace(/^\./, '');
}

/** @returns a fault in one line, such as `accounts[3].share: must be at least 1` */
export function formatFault(fault: ConfigurationFault): string {
	return fault.path === '' ? fault.reason : `${fault.path}: ${fault.reason}`;
}
