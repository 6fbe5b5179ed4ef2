import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { type AdminSources, serveAdmin } from '../../admin/node/adminServer.js';
import { dump } from '../node/dumpCommand.js';
import { explain } from '../node/explainCommand.js';

const SOURCES: AdminSources = {
	readiness: [],
	dumps: { scheduling: () => [{ pool: 'drafting' }] },
	accountFacts: (account) => (account === 'a b&c' ? { account, share: 2, services: ['drafts'], pools: [] } : undefined),
	metrics: { contentType: 'text/plain', render: () => Promise.resolve('') },
};

function withRouter(use: (admin: string) => Promise<void>): Promise<void> {
	const listening = serveAdmin({ host: '127.0.0.1', port: 0 }, SOURCES);
	return Effect.runPromise(
		Effect.scoped(Effect.flatMap(listening, ({ port }) => Effect.promise(() => use(`127.0.0.1:${port}`)))),
	);
}

describe('commands that query a router', () => {
	test('print the state dump as JSON', () =>
		withRouter(async (admin) => {
			const printed: string[] = [];
			await dump({ admin }, (text) => printed.push(text));
			expect(JSON.parse(printed.join(''))).toEqual({ scheduling: [{ pool: 'drafting' }] });
		}));

	// Guards against an account name that alters the query string, and against an unknown account that looks idle.
	test('explain exactly the account that was named', () =>
		withRouter(async (admin) => {
			const printed: string[] = [];
			await explain('a b&c', { admin }, (text) => printed.push(text));
			expect(printed).toEqual(['Account a b&c: share 2, services drafts']);
			await expect(explain('a b', { admin }, (text) => printed.push(text))).rejects.toThrow(
				"The configuration in force has no client account 'a b'.",
			);
		}));

	// Guards against an empty dump with exit code 0 when the router is not running.
	test('fail when no router answers', async () => {
		let free = '';
		await withRouter((admin) => {
			free = admin;
			return Promise.resolve();
		});
		await expect(dump({ admin: free }, () => undefined)).rejects.toThrow(/^cannot ask 127.0.0.1:\d+: .*ECONNREFUSED/);
	});
});
