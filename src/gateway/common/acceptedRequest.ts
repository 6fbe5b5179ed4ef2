import type { HeaderFields } from '../../base/common/headerFields.js';
import type { EngineSize } from '../../routing/common/model.js';
import type { RoutingResult } from '../../routing/common/routeTable.js';
import type { IngressFields } from './ingress.js';

/** A request that was read and has a route. */
export interface AcceptedRequest {
	readonly fields: IngressFields;
	readonly routing: RoutingResult;
	/** Version of the configuration that gave the route. */
	readonly configurationVersion: number;
	/** Undefined for plain services. */
	readonly engine: EngineSize | undefined;
	readonly method: string;
	/** Path and query as they arrived. */
	readonly target: string;
	readonly host: string;
	readonly headers: HeaderFields;
	readonly body: Uint8Array;
	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
	/** Milliseconds since the caller's first attempt at this request. */
	readonly elapsedBeforeMs: number;
}
