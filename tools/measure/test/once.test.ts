import { describe, expect, test } from '@jest/globals';
import type { CallOutcome } from '../../load/completionCall.js';
import { evaluateAtMostOnce } from '../once.js';

function outcome(result: CallOutcome['result'], verdict?: string): CallOutcome {
	return { status: 0, verdict, result, detail: '', retryAfterSeconds: undefined };
}

describe('judgeOnce', () => {
	// Guards against a check that accepts a repeated call, or a call that was run but reported as not run.
	test('finds duplicates and false reports', () => {
		const calls = [
			{ key: 'good', outcomes: [outcome('refused', 'not-run'), outcome('whole', 'completed')] },
			{ key: 'doubled', outcomes: [outcome('broken'), outcome('whole', 'completed')] },
			{ key: 'false', outcomes: [outcome('refused', 'not-run')] },
			{ key: 'invented', outcomes: [outcome('whole', 'completed')] },
			{ key: 'unknown', outcomes: [outcome('refused', 'may-have-run'), outcome('refused', 'not-run')] },
		];
		const ledger = new Map([
			['good', { started: 1, finished: 1 }],
			['doubled', { started: 2, finished: 1 }],
			['false', { started: 1, finished: 0 }],
			['unknown', { started: 1, finished: 0 }],
		]);
		const { results, broken } = evaluateAtMostOnce(1, calls, ledger, new Map());
		expect(results).toMatchObject({ duplicates: 1, false_not_run: 1, wrong_or_cut_answers: 1, lost: 0 });
		expect(broken).toHaveLength(3);
	});
});
