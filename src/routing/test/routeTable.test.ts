import { describe, expect, test } from '@jest/globals';
import type { Route, RoutingConfiguration } from '../common/model.js';
import { RouteTable } from '../common/routeTable.js';

function routeWith(overrides: Partial<Route>): Route {
	return {
		name: 'route',
		host: 'almanac.example',
		prefix: '/a/',
		targets: [{ service: 'desk', weight: 1 }],
		repeatPolicy: 'once',
		streams: false,
		resumable: false,
		timeoutMs: 1_000,
		aimMs: 100,
		pauseAimMs: undefined,
		priority: 1,
		maximumAttempts: 1,
		isPublic: false,
		...overrides,
	};
}

function tableWith(routes: readonly Route[], overrides: Partial<RoutingConfiguration> = {}): RouteTable {
	return RouteTable.create({
		version: 1,
		routes,
		services: [],
		accounts: [{ name: 'harbour', keys: ['key'], priority: undefined }],
		limits: {
			maximumHeaderBytes: 1,
			maximumBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
			tokensPerSecond: undefined,
		},
		...overrides,
	});
}

const request = { id: 'one', host: 'almanac.example', path: '/a/b/c', key: 'key' };

describe('RouteTable', () => {
	test('the longest matching prefix is used', () => {
		const table = tableWith([routeWith({ name: 'short' }), routeWith({ name: 'long', prefix: '/a/b/' })]);
		expect(table.find(request)).toMatchObject({ route: { name: 'long' } });
	});

	test('a prefix ends at a slash', () => {
		expect(tableWith([routeWith({})]).find({ ...request, path: '/ab/c' })).toBe('unknown-route');
	});

	test('hosts are compared case-insensitively', () => {
		expect(tableWith([routeWith({})]).find({ ...request, host: 'Almanac.Example' })).toMatchObject({ service: 'desk' });
	});

	test('a missing key or one of no account is refused, but public routes need none', () => {
		const table = tableWith([routeWith({}), routeWith({ prefix: '/open/', isPublic: true })]);
		expect(table.find({ ...request, key: 'other' })).toBe('unknown-key');
		expect(table.find({ ...request, key: undefined })).toBe('unknown-key');
		expect(table.find({ ...request, path: '/open/x', key: undefined })).toMatchObject({ account: undefined });
	});

	test('requests are split by weight, and one request always goes to the same service', () => {
		const table = tableWith([
			routeWith({
				targets: [
					{ service: 'desk', weight: 90 },
					{ service: 'other', weight: 10 },
				],
			}),
		]);
		const counts = { desk: 0, other: 0 };
		for (let index = 0; index < 5_000; index++) {
			const result = table.find({ ...request, id: `request ${index}` });
			expect(table.find({ ...request, id: `request ${index}` })).toEqual(result);
			counts[(result as { service: 'desk' | 'other' }).service]++;
		}
		expect(counts.other / 5_000).toBeGreaterThan(0.07);
		expect(counts.other / 5_000).toBeLessThan(0.13);
	});
});
