import { shortKey } from '../../base/common/shortKey.js';
import type { HeaderFields } from '../../base/common/headerFields.js';
import type { EngineSize } from '../../routing/common/model.js';
import type { RoutingResult } from '../../routing/common/routeTable.js';
import type { ShareGrant } from '../../shares/common/shareGrant.js';
import type { IngressFields } from './ingress.js';

/** A request that has been read completely and matched to a route. */
export interface AcceptedRequest {
	readonly fields: IngressFields;
	readonly routing: RoutingResult;
	/** Version of the configuration in which the route was found. */
	readonly configurationVersion: number;
	/** Capacity of each engine of the service; undefined for plain services, which have no engines. */
	readonly engine: EngineSize | undefined;
	readonly method: string;
	/** Path and query as received. */
	readonly target: string;
	readonly host: string;
	readonly headers: HeaderFields;
	readonly body: Uint8Array;
	/** Keeps the memory of the body charged until the returned function is called. */
	readonly retainBody: () => () => void;
	/** Arrival time in monotonic milliseconds. */
	readonly arrivedAt: number;
	/** Milliseconds between the caller's first attempt and the arrival of this one; 0 for a first attempt. */
	readonly elapsedBeforeMs: number;
	/** Credit of the account's share that the request took; undefined where another router or none has admitted it. */
	readonly shareGrant: ShareGrant | undefined;
}

/**
 * @param routing route and account of a request
 * @returns short key of the account, under which its usage is counted
 */
export function accountKeyOf({ account }: RoutingResult): number {
	return shortKey(account?.name ?? '');
}
