/** One condition that a router must meet before it receives traffic. */
export interface ReadinessCheck {
	/** Short name, such as `configuration`. */
	readonly name: string;
	/** @returns undefined when the condition is met, or else what is missing */
	readonly missing: () => string | undefined;
}

/** Result of all checks, served by `/readyz`. */
export interface Readiness {
	readonly ready: boolean;
	readonly checks: readonly { readonly name: string; readonly ready: boolean; readonly missing?: string }[];
}

/**
 * @param checks conditions of all parts
 * @returns ready when no check lacks anything
 */
export function evaluateReadiness(checks: readonly ReadinessCheck[]): Readiness {
	const results = checks.map(({ name, missing }) => {
		const reason = missing();
		return reason === undefined ? { name, ready: true } : { name, ready: false, missing: reason };
	});
	return { ready: results.every((result) => result.ready), checks: results };
}
