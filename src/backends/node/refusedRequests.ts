/** Maximum number of identifiers that are remembered for one connection. */
const MAXIMUM_IDENTIFIERS = 64;

/**
 * Remembers which requests a server has refused on each of its connections. A request that is refused twice there was
 * refused once: the second refusal repeats the first one.
 */
export class RefusedRequests {
	private readonly identifiers = new WeakMap<object, Set<string>>();

	private constructor() {}

	/** @returns a memory without refusals */
	public static create(): RefusedRequests {
		return new RefusedRequests();
	}

	/**
	 * @param connection connection on which a request was refused
	 * @param identifier identifier of the request
	 * @returns false when the same identifier was refused on the connection before
	 */
	public add(connection: object, identifier: string): boolean {
		let refused = this.identifiers.get(connection);
		if (refused === undefined) {
			refused = new Set();
			this.identifiers.set(connection, refused);
		}
		if (refused.has(identifier)) {
			return false;
		}
		if (refused.size >= MAXIMUM_IDENTIFIERS) {
			const [oldest = ''] = refused;
			refused.delete(oldest);
		}
		refused.add(identifier);
		return true;
	}
}
