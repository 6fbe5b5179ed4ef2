import { describe, expect, test } from '@jest/globals';
import { Emitter } from '../common/event.js';
import { DisposableStore, toDisposable } from '../common/lifecycle.js';
import { combineVerdicts } from '../common/verdict.js';

describe('Emitter', () => {
	// Guards against calling a listener after its owner was disposed.
	test('stops calling a disposed listener', () => {
		const emitter = Emitter.create<number>();
		const received: number[] = [];
		const subscription = emitter.event((value) => received.push(value));
		emitter.fire(1);
		subscription.dispose();
		emitter.fire(2);
		expect(received).toEqual([1]);
	});
});

describe('DisposableStore', () => {
	// Guards against leaking an object that is created after its owner was disposed.
	test('disposes items in reverse order, and items added later at once', () => {
		const order: string[] = [];
		const store = DisposableStore.create();
		store.add(toDisposable(() => order.push('first')));
		store.add(toDisposable(() => order.push('second')));
		store.dispose();
		store.add(toDisposable(() => order.push('late')));
		expect(order).toEqual(['second', 'first', 'late']);
	});
});

describe('combineVerdicts', () => {
	// Guards against a retry that fails before its dispatch and hides that an earlier attempt may have run.
	test('keeps may-have-run when a later attempt did not run', () => {
		expect(combineVerdicts('may-have-run', 'not-run')).toBe('may-have-run');
		expect(combineVerdicts('not-run', 'may-have-run')).toBe('may-have-run');
		expect(combineVerdicts('may-have-run', 'completed')).toBe('completed');
	});
});
