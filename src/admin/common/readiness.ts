/** One condition that a router must meet before it receives traffic. */
export interface ReadinessCheck {
	/** Short name, such as `configuration`. */
	readonly name: string;
	/** @returns what is missing, or undefined when the condition is met */
	readonly missing: () => string | undefined;
}

/** Result of all checks, served by `/readyz`. */
export interface Readiness {
	readonly ready: boolean;
	readonly checks: readonly { readonly name: string; readonly ready: boolean; readonly missing?: string }[];
}

/**
 * @param checks conditions of all components
 * @returns the result, which is ready when all conditions are met
 */
export function evaluateReadiness(checks: readonly ReadinessCheck[]): Readiness {
	const results = checks.map(({ name, missing }) => {
		const reason = missing();
		return reason === undefined ? { name, ready: true } : { name, ready: false, missing: reason };
	});
	return { ready: results.every((result) => result.ready), checks: results };
}
