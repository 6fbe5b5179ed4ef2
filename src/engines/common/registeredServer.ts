/** A backend server as its registration describes it. */
export interface RegisteredServer {
	readonly id: string;
	readonly service: string;
	/** `ip:port` */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests in progress that the server runs at once. */
	readonly slots: number;
	readonly leaving: boolean;
	/** Unix milliseconds of the server's start; undefined when it does not say. It tells incarnations apart. */
	readonly startedAt: number | undefined;
	/** Milliseconds for which the server was still cold when it wrote its registration. */
	readonly coldLeftMs: number;
	/** Revision of the registration in the store. */
	readonly revision: number;
}
