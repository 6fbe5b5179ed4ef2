/** Slots of one backend server that an entry holds. */
export interface HeldDump {
	readonly held: number;
	readonly idle: number;
	readonly recalled: number;
}

/** State of a pool at one entry. Service is in cost units. */
export interface EntryDump {
	readonly term: number;
	readonly hasScheduler: boolean;
	readonly contended: boolean;
	readonly floor: number;
	/** Virtual service up to which an entry reuses slots for an account; null without a limit. */
	readonly reuseLimit: number | null;
	/** Slots by short key of the backend server. */
	readonly slots: Readonly<Record<string, HeldDump>>;
	readonly accounts: readonly {
		readonly id: string;
		readonly share: number;
		readonly queued: number;
		readonly running: number;
		readonly charged: number;
		readonly virtualService: number;
		readonly expectedCost: number;
	}[];
}

/** State of a pool at its scheduler. */
export interface SchedulerDump {
	readonly term: number;
	readonly rebuilding: boolean;
	readonly contended: boolean;
	readonly floor: number;
	readonly slack: number;
	/** Normalised service that an entry may leave unreported. */
	readonly quantum: number;
	/** Slot limit by short key of the backend server. */
	readonly slotLimits: Readonly<Record<string, number>>;
	/** Leased slots by short key of the backend server. */
	readonly leased: Readonly<Record<string, number>>;
	readonly entries: readonly {
		readonly instance: string;
		readonly incarnation: string;
		/** Slots by short key of the backend server. */
		readonly held: Readonly<Record<string, number>>;
		readonly unacknowledgedGrants: number;
	}[];
	readonly accounts: readonly {
		/** Short key of the account. */
		readonly key: number;
		readonly virtualService: number;
		readonly granted: number;
		readonly queued: number;
	}[];
}

/** State of one pool at one router. */
export interface PoolDump {
	readonly pool: string;
	/** Instance name of the scheduler. */
	readonly scheduler: string;
	readonly entry: EntryDump;
	/** Undefined when another router schedules the pool. */
	readonly schedulerState: SchedulerDump | undefined;
}
