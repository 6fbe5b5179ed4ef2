/** State of a backend server of a pool. */
export interface BackendFacts {
	readonly id: string;
	/** Such as `live`, `leaving`, `down` or `unknown`. */
	readonly status: string;
	/** Number of slots in the configuration. */
	readonly configuredSlots: number;
	/**
	 * Current number of usable slots; lower than configured while the reported load is high, 0 while it is not usable.
	 */
	readonly slotLimit?: number;
}

/** State of a client account in one pool, as seen by one router. Service is measured in cost units. */
export interface AccountPoolFacts {
	readonly pool: string;
	/** Name of the router that schedules the pool, if it is known. */
	readonly scheduler?: string;
	/** Whether the scheduler is this router or a connected peer. */
	readonly schedulerReachable: boolean;
	readonly queued: number;
	readonly running: number;
	/** Number of requests that may be queued on this router; further ones are refused. */
	readonly queueLimit?: number;
	/** Time for which requests have waited without any of them starting, in milliseconds. */
	readonly stalledMs?: number;
	/** Service delivered by this router since its start. */
	readonly deliveredService: number;
	/** Service of the account in the pool divided by its share, as last received by this router. */
	readonly virtualService: number;
	/** Lowest virtual service of any backlogged account in the pool, as last received by this router. */
	readonly floor: number;
	/**
	 * Highest virtual service at which this router may reuse a slot without a scheduler grant; undefined if unlimited.
	 */
	readonly reuseLimit?: number;
	/** Slots of the pool that this router holds, and how many of them are idle. */
	readonly slotsHeld: number;
	readonly slotsIdle: number;
	/** Whether the pool has unmet demand and no free slot. */
	readonly contended: boolean;
	readonly backendServers: readonly BackendFacts[];
	/** Number of request fingerprints of this account that are refused because backend servers crashed running them. */
	readonly quarantined?: number;
}

/** State of a client account, as seen by one router. */
export interface AccountFacts {
	readonly account: string;
	readonly share: number;
	readonly services: readonly string[];
	readonly pools: readonly AccountPoolFacts[];
}

/** Reason why requests wait or are refused. */
export interface WaitReason {
	readonly code:
		| 'not-waiting'
		| 'queue-full'
		| 'no-scheduler'
		| 'no-usable-backend-server'
		| 'slot-limit-lowered'
		| 'above-reuse-limit'
		| 'no-free-slot'
		| 'quarantined'
		| 'next-in-line';
	readonly text: string;
}

/** Response body of `/explain`. */
export interface AccountExplanation extends Omit<AccountFacts, 'pools'> {
	readonly pools: readonly (AccountPoolFacts & {
		readonly waiting: boolean;
		readonly reasons: readonly WaitReason[];
	})[];
}

/**
 * Explains why the requests of a client account wait.
 *
 * @param facts state of the account at the router
 * @returns the state with the reasons for each pool, the most decisive first
 */
export function explainAccount(facts: AccountFacts): AccountExplanation {
	return {
		...facts,
		pools: facts.pools.map((pool) => ({ ...pool, waiting: pool.queued > 0, reasons: explainPool(pool) })),
	};
}

function explainPool(pool: AccountPoolFacts): readonly WaitReason[] {
	const reasons = [explainQuarantine(pool)];
	if (pool.queued === 0) {
		reasons.push({ code: 'not-waiting', text: 'No request of this account is queued on this router.' });
	} else {
		reasons.push(
			explainQueue(pool),
			explainScheduler(pool),
			explainBackends(pool),
			explainLoweredLimits(pool),
			explainSlots(pool),
			explainShare(pool),
		);
	}
	return reasons.filter((reason) => reason !== undefined);
}

function explainQuarantine(pool: AccountPoolFacts): WaitReason | undefined {
	if (pool.quarantined === undefined || pool.quarantined === 0) {
		return undefined;
	}
	return {
		code: 'quarantined',
		text: `${pool.quarantined} request(s) of this account are refused because backend servers died while running them.`,
	};
}

function explainQueue(pool: AccountPoolFacts): WaitReason | undefined {
	if (pool.queueLimit === undefined || pool.queued < pool.queueLimit) {
		return undefined;
	}
	return {
		code: 'queue-full',
		text: `${pool.queued} requests are queued, which is the limit on this router; further ones are refused with 429.`,
	};
}

function explainScheduler(pool: AccountPoolFacts): WaitReason | undefined {
	if (pool.schedulerReachable) {
		return undefined;
	}
	return {
		code: 'no-scheduler',
		text:
			pool.scheduler === undefined
				? 'No scheduler of the pool is known; this router serves only from slots that it holds.'
				: `The scheduler ${pool.scheduler} is not connected; this router serves only from slots that it holds.`,
	};
}

function explainBackends(pool: AccountPoolFacts): WaitReason | undefined {
	if (pool.backendServers.some((server) => server.status === 'live' && server.slotLimit !== 0)) {
		return undefined;
	}
	const states = pool.backendServers.map((server) => `${server.id} is ${server.status}`).join(', ');
	return {
		code: 'no-usable-backend-server',
		text: states === '' ? 'The pool has no backend server.' : `No backend server takes requests: ${states}.`,
	};
}

function explainLoweredLimits(pool: AccountPoolFacts): WaitReason | undefined {
	const lowered = pool.backendServers.filter(
		(server) => server.slotLimit !== undefined && server.slotLimit > 0 && server.slotLimit < server.configuredSlots,
	);
	if (lowered.length === 0) {
		return undefined;
	}
	const limits = lowered.map((server) => `${server.id} ${server.slotLimit ?? 0} of ${server.configuredSlots}`);
	return { code: 'slot-limit-lowered', text: `Reported load has lowered slot limits: ${limits.join(', ')}.` };
}

function explainSlots(pool: AccountPoolFacts): WaitReason | undefined {
	if (pool.slotsIdle > 0 && !pool.contended) {
		return undefined;
	}
	return {
		code: 'no-free-slot',
		text: `This router holds ${pool.slotsHeld} slots, ${pool.slotsIdle} of them idle; the pool has ${
			pool.contended ? 'no free slot' : 'free slots that are being leased'
		}.`,
	};
}

function explainShare(pool: AccountPoolFacts): WaitReason {
	const excess = pool.virtualService - pool.floor;
	if (pool.virtualService > (pool.reuseLimit ?? Infinity)) {
		return {
			code: 'above-reuse-limit',
			text: `The account has received ${round(excess)} cost units per share more than the account with the least; accounts with less go first.`,
		};
	}
	return {
		code: 'next-in-line',
		text: `The account is ${round(excess)} cost units per share above the floor, within the reuse limit, and takes one of the next slots.`,
	};
}

function round(value: number): number {
	return Number(value.toPrecision(4));
}
