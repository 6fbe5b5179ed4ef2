import { expect, test } from '@jest/globals';
import { RequestTurns } from '../node/requestTurns.js';

interface Handled {
	readonly name: number;
	readonly isLate: boolean;
}

interface TurnsFixture {
	readonly turns: RequestTurns;
	readonly handled: Handled[];
	readonly take: (name: number, account?: string) => () => void;
	readonly setTime: (now: number) => void;
}

function createTurns(): TurnsFixture {
	let time = 0;
	const turns = RequestTurns.create({ now: () => time });
	const handled: Handled[] = [];
	return {
		turns,
		handled,
		take: (name, account = 'harbour') => turns.take(account, (isLate) => handled.push({ name, isLate })),
		setTime: (now) => (time = now),
	};
}

const nextIteration = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

// Guards against iterations of the event loop that handle the requests of all open connections, but accept one new connection.
test('an iteration handles few requests, in the order of their arrival', async () => {
	const { handled, take } = createTurns();
	Array.from({ length: 10 }, (_, name) => take(name));
	const counts = [handled.length];
	while (handled.length < 10) {
		await nextIteration();
		counts.push(handled.length);
	}
	expect(counts).toEqual([3, 6, 9, 10]);
	expect(handled.map(({ name }) => name)).toEqual(Array.from({ length: 10 }, (_, name) => name));
});

test('a request that arrives when none is waiting is handled at once', async () => {
	const { handled, take } = createTurns();
	take(0);
	await nextIteration();
	take(1);
	expect(handled).toHaveLength(2);
});

// Guards against a queue in which all requests are late, so that their callers give up and none is served.
test('while requests wait for long, the newest is handled in time and the oldest are late', async () => {
	const { handled, take, setTime, turns } = createTurns();
	Array.from({ length: 10 }, (_, name) => take(name));
	setTime(300);
	take(10);
	expect(turns.waitMs(300)).toBe(300);
	while (handled.length <= 3) {
		await nextIteration();
	}
	expect(handled.slice(3)).toEqual([
		{ name: 10, isLate: false },
		{ name: 3, isLate: true },
		{ name: 4, isLate: true },
	]);
});

// Guards against new connections that wait behind the requests of open ones for longer than their callers do.
test('while requests wait for long, two of three iterations are left to new connections', async () => {
	const { handled, take, setTime } = createTurns();
	Array.from({ length: 9 }, (_, name) => take(name));
	setTime(300);
	const counts: number[] = [];
	while (handled.length < 9) {
		await nextIteration();
		counts.push(handled.length);
	}
	expect(counts).toEqual([3, 3, 6, 6, 6, 9]);
});

// Guards against requests that are held until their turn although their callers have left.
test('requests that are given up while they wait are not handled, and do not count', async () => {
	const { handled, take, turns } = createTurns();
	const giveUps = Array.from({ length: 10 }, (_, name) => take(name));
	giveUps.slice(3, 9).forEach((giveUp) => giveUp());
	await nextIteration();
	expect(handled.map(({ name }) => name)).toEqual([0, 1, 2, 9]);
	expect(turns.waitMs(1_000)).toBe(0);
});

// Guards against an account whose requests wait behind those of another one, which repeats what is refused on many connections.
test('an account waits behind its own requests only', async () => {
	const { handled, take, setTime } = createTurns();
	Array.from({ length: 100 }, (_, name) => take(name, 'flood'));
	await nextIteration();
	setTime(300);
	take(100, 'flood');
	take(101, 'small');
	take(102, 'small');
	while (handled.length <= 6) {
		await nextIteration();
	}
	const inTime = handled.filter(({ name }) => name >= 100);
	expect(inTime).toEqual([
		{ name: 100, isLate: false },
		{ name: 101, isLate: false },
		{ name: 102, isLate: false },
	]);
});
