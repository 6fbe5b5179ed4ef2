import { createHash } from 'node:crypto';
import type { ClientAccount, Configuration } from '../../configuration/common/model.js';

const BEARER = /^Bearer +(.+)$/i;

// Hashing each request's token again would cost a few microseconds; the cache holds tokens that were found only.
const MAXIMUM_CACHED = 50_000;

/** Finds the client account of an `Authorization` header. Tokens are compared by digest. */
export class AccountTokens {
	private readonly byDigest = new Map<string, ClientAccount>();
	private readonly byHeader = new Map<string, ClientAccount>();

	private constructor() {}

	/** @returns a finder that knows no account */
	public static create(): AccountTokens {
		return new AccountTokens();
	}

	/** @param configuration accounts that are known from now on */
	public configure(configuration: Configuration): void {
		this.byDigest.clear();
		this.byHeader.clear();
		for (const account of configuration.accounts) {
			for (const digest of account.tokenDigests) {
				this.byDigest.set(digest.toLowerCase(), account);
			}
		}
	}

	/**
	 * @param authorization value of the header
	 * @returns the account, or undefined when the token is not known
	 */
	public find(authorization: string | undefined): ClientAccount | undefined {
		if (authorization === undefined) {
			return undefined;
		}
		const cached = this.byHeader.get(authorization);
		if (cached !== undefined) {
			return cached;
		}
		const token = BEARER.exec(authorization)?.[1];
		if (token === undefined) {
			return undefined;
		}
		const account = this.byDigest.get(createHash('sha256').update(token).digest('hex'));
		if (account !== undefined && this.byHeader.size < MAXIMUM_CACHED) {
			this.byHeader.set(authorization, account);
		}
		return account;
	}
}
