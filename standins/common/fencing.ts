import type { IncomingMessage } from 'node:http';
import { headerOf } from './backendListener.js';

/** Checks that the fencing numbers of the orders for one idempotency key never go back. */
export class FencingCheck {
	private readonly highest = new Map<string, number>();

	private constructor(private readonly enabled: boolean) {}

	/**
	 * @param enabled false ignores all numbers
	 * @returns a check that has seen no number
	 */
	public static create(enabled: boolean): FencingCheck {
		return new FencingCheck(enabled);
	}

	/**
	 * @param request order with `Masticloom-Fencing-Number` and `Idempotency-Key`
	 * @returns whether the order may run
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
