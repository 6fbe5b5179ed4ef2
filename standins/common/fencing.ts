import type { IncomingMessage } from 'node:http';
import { headerOf } from './backendListener.js';

/** Checks that the fencing numbers of requests with the same idempotency key never decrease. */
export class FencingCheck {
	private readonly highest = new Map<string, number>();

	private constructor(private readonly enabled: boolean) {}

	/**
	 * @param enabled false accepts all numbers
	 * @returns a check that has received no number
	 */
	public static create(enabled: boolean): FencingCheck {
		return new FencingCheck(enabled);
	}

	/**
	 * @param request with the headers `Masticloom-Fencing-Number` and `Idempotency-Key`
	 * @returns whether the request may be executed
	 */
	public accepts(request: IncomingMessage): boolean {
		const number = Number(headerOf(request, 'masticloom-fencing-number'));
		if (!this.enabled || !Number.isSafeInteger(number) || number <= 0) {
			return true;
		}
		const key = headerOf(request, 'idempotency-key') ?? '';
		if (number < (this.highest.get(key) ?? 0)) {
			return false;
		}
		this.highest.set(key, number);
		return true;
	}
}
