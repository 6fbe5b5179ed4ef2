/** What differs between the settings of the routers of a run. */
export interface RouterSettingsValues {
	readonly name: string;
	readonly failureDomain: string;
	readonly callersPort: number;
	readonly peersPort: number;
	readonly adminPort: number;
	readonly storeUrl: string;
	readonly instanceListUrl: string;
}

// There is no balancer in front of the routers of a run, so a terminated router need not wait for one for long.
const BALANCER_DELAY_MS = 500;
const SHUTDOWN_DEADLINE_MS = 30_000;

/**
 * Writes the settings file of a router on loopback.
 *
 * @param values name and addresses
 * @returns text in INI format
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
