/** A validation error in a configuration. */
export interface ConfigurationFault {
	/** Path of the invalid value, such as `accounts[3].share`; empty for the document as a whole. */
	readonly path: string;
	readonly reason: string;
}

/** @returns the path of a document member as text, such as `accounts[3].share` */
export function formatPath(path: readonly PropertyKey[]): string {
	return path
		.map((segment) => (typeof segment === 'number' ? `[${segment}]` : `.${String(segment)}`))
		.join('')
		.replace(/^\./, '');
}

/** @returns a fault as one line of text, such as `accounts[3].share: must be at least 1` */
export function formatFault(fault: ConfigurationFault): string {
	return fault.path === '' ? fault.reason : `${fault.path}: ${fault.reason}`;
}
