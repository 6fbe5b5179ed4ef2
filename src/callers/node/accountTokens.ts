import { createHash } from 'node:crypto';
import type { ClientAccount, Configuration } from '../../configuration/common/model.js';

const BEARER = /^Bearer +(.+)$/i;

// Avoids hashing the token of each request, which takes a few microseconds. Only tokens of known accounts are cached.
const MAXIMUM_CACHED_HEADERS = 50_000;

/** Finds the client account for an `Authorization` header. Tokens are compared by digest. */
export class AccountTokens {
	private readonly byDigest = new Map<string, ClientAccount>();
	private readonly byHeader = new Map<string, ClientAccount>();

	private constructor() {}

	/** @returns an instance without accounts */
	public static create(): AccountTokens {
		return new AccountTokens();
	}

	/** @param configuration replaces the accounts */
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
	 * @returns the account, or undefined when the token is missing or belongs to no account
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
		if (account !== undefined && this.byHeader.size < MAXIMUM_CACHED_HEADERS) {
			this.byHeader.set(authorization, account);
		}
		return account;
	}
}
