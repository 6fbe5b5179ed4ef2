/** A backend server as described by its registration. */
export interface RegisteredServer {
	readonly id: string;
	readonly service: string;
	/** Address in the form `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	/** Maximum number of requests that the server runs concurrently. */
	readonly slots: number;
	/** Whether the server is shutting down and accepts no new requests. */
	readonly leaving: boolean;
	/** Start time in Unix milliseconds, which distinguishes incarnations; undefined when the registration has none. */
	readonly startedAt: number | undefined;
	/** Remaining milliseconds of the cold period at the time when the server wrote its registration. */
	readonly coldLeftMs: number;
	/** Revision of the registration in the store. */
	readonly revision: number;
}
