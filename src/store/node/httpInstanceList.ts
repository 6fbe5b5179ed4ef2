import * as http from 'node:http';
import { Effect } from 'effect';
import type { IInstanceList, ListedInstance, InstanceListError } from '../common/instanceList.js';
import { callJson } from './httpJson.js';

const FETCH_TIMEOUT_MS = 2_000;

interface TargetGroup {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
}

/**
 * Reads the instance list in the Prometheus HTTP service discovery format: an array of groups with `targets` and
 * `labels`. The labels used are `instance`, `role` (`router` or `backend`), `failure_domain`, `state` (`live` or
 * `leaving`) and `admin`; groups with another role are ignored.
 */
export class HttpInstanceList implements IInstanceList {
	private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

	private constructor(private readonly url: URL) {}

	/**
	 * @param url address of the list
	 * @returns a client for it
	 */
	public static create(url: string): HttpInstanceList {
		return new HttpInstanceList(new URL(url));
	}

	public fetch(): Effect.Effect<readonly ListedInstance[], InstanceListError> {
		return Effect.tryPromise({
			try: async (signal) => {
				const response = await callJson(this.url, {
					method: 'GET',
					agent: this.agent,
					timeoutMs: FETCH_TIMEOUT_MS,
					signal,
				});
				if (response.status !== 200 || !Array.isArray(response.body)) {
					throw new Error(`the instance list answered with status ${response.status}`);
				}
				return (response.body as readonly TargetGroup[]).flatMap(toInstances);
			},
			catch: (error): InstanceListError => ({ message: error instanceof Error ? error.message : String(error) }),
		});
	}
}

function toInstances(group: TargetGroup): readonly ListedInstance[] {
	const role = group.labels.role;
	if (role !== 'router' && role !== 'backend') {
		return [];
	}
	return group.targets.map((address) => ({
		name: group.labels.instance ?? address,
		role,
		address,
		failureDomain: group.labels.failure_domain ?? '',
		leaving: group.labels.state === 'leaving',
		adminAddress: group.labels.admin,
	}));
}
