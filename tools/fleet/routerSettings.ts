/** Settings that differ between the routers of a fleet. */
export interface RouterSettingsValues {
	readonly name: string;
	readonly failureDomain: string;
	readonly callersPort: number;
	readonly peersPort: number;
	readonly adminPort: number;
	readonly storeUrl: string;
	readonly instanceListUrl: string;
}

// No load balancer is in front of these routers, so a terminating router needs little time for one to notice.
const BALANCER_DELAY_MS = 500;
const SHUTDOWN_DEADLINE_MS = 30_000;

/**
 * Formats the settings file of a router that listens on loopback.
 *
 * @param values name, failure domain and addresses
 * @returns the settings in INI format
 */
export function formatRouterSettings(values: RouterSettingsValues): string {
	return `[instance]
name = ${values.name}
failure_domain = ${values.failureDomain}

[callers]
address = 127.0.0.1:${values.callersPort}

[peers]
address = 127.0.0.1:${values.peersPort}

[admin]
address = 127.0.0.1:${values.adminPort}

[platform]
store_url = ${values.storeUrl}
instance_list_url = ${values.instanceListUrl}

[log]
level = warn

[shutdown]
balancer_delay_ms = ${BALANCER_DELAY_MS}
deadline_ms = ${SHUTDOWN_DEADLINE_MS}
`;
}
