import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import { countTokens, EventStream, MAXIMUM_EVENT_BYTES } from '../node/eventStream.js';

const MARKER = 'data: [DONE]\n\n';

function eventsOf(texts: readonly string[]): string {
	return texts.map((text, index) => `id: ${index + 1}\ndata: ${JSON.stringify({ text })}\n\n`).join('');
}

function cut(bytes: Buffer, at: readonly number[]): readonly Buffer[] {
	const points = [...new Set([0, ...at.map((point) => point % (bytes.length + 1)), bytes.length])].sort(
		(a, b) => a - b,
	);
	return points.slice(1).map((end, index) => bytes.subarray(points[index], end));
}

/** Streams of an instance on which faulty servers may send at the same time. */
const STREAMS = 300;

/** Memory limit of the smallest instances. */
const MEMORY_OF_INSTANCE_BYTES = 350 * 1_048_576;

/** @returns bytes of the buffers in use */
function usedMemory(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().arrayBuffers;
}

function multiplesOf(size: number): readonly number[] {
	return Array.from({ length: Math.floor(MAXIMUM_EVENT_BYTES / size) }, (_, index) => index * size);
}

describe('EventStream', () => {
	// Guards against lost or duplicated bytes and against treating an interrupted stream as complete, for any division of
	// the stream into chunks.
	test('passes every byte on and detects the end, for any cut into chunks', () => {
		const inputs = [
			fc.array(fc.string(), { maxLength: 6 }),
			fc.array(fc.nat(), { maxLength: 8 }),
			fc.boolean(),
			fc.nat(),
		] as const;
		fc.assert(
			fc.property(...inputs, (texts, points, resumable, lost) => {
				const whole = Buffer.from(eventsOf(texts) + MARKER);
				const end = whole.length - (lost % (whole.length + 1));
				const stream = EventStream.create(resumable);
				const passed = cut(whole.subarray(0, end), points).map((chunk) => stream.push(chunk) ?? Buffer.alloc(0));
				// The stream is complete without the line feeds after the end marker.
				expect(stream.isComplete).toBe(end >= whole.length - 2);
				const all = Buffer.concat([...passed, stream.takeBuffered() ?? Buffer.alloc(0)]);
				expect(all.equals(whole.subarray(0, end))).toBe(true);
			}),
			{ seed: 11, numRuns: 500 },
		);
	});

	// Guards against resuming a stream in the middle of an event or after the wrong event.
	test('resumes after the last whole event, for any cut into chunks', () => {
		const texts = fc.array(fc.constantFrom('a', 'id: 9', '\nid: 9\n', 'data:'), { minLength: 1, maxLength: 6 });
		fc.assert(
			fc.property(texts, fc.array(fc.nat(), { maxLength: 8 }), fc.nat(), (list, points, lost) => {
				const whole = Buffer.from(eventsOf(list));
				const end = whole.length - (lost % whole.length);
				const stream = EventStream.create(true);
				const passed = cut(whole.subarray(0, end), points).map((chunk) => stream.push(chunk) ?? Buffer.alloc(0));
				const text = Buffer.concat(passed).toString('utf8');
				const count = text.split('\n\n').length - 1;
				expect(stream.lastEventId).toBe(count === 0 ? undefined : String(count));
				expect(text).toBe(eventsOf(list.slice(0, count)));
			}),
			{ seed: 11, numRuns: 500 },
		);
	});

	// Guards against charging tokens twice or not at all when a chunk contains several events.
	test('counts the events of a chunk', () => {
		expect(countTokens(Buffer.from(eventsOf(['a', 'data: b', 'c'])))).toBe(3);
		// The usage event and the end marker are not tokens; counting them would overcharge accounts with short requests.
		const last = `id: 4\ndata: {"choices":[],"usage":{"completion_tokens":3}}\n\n${MARKER}`;
		expect(countTokens(Buffer.from(eventsOf(['"choices":[]']) + last))).toBe(1);
		expect(countTokens(Buffer.from(last))).toBe(0);
	});

	// Guards against a router that runs out of memory while faulty servers send events without end on many streams.
	test('the unfinished events of many streams fit into the memory of an instance', () => {
		const piece = Buffer.alloc(1_024, 'x');
		const begin = Buffer.from('id: 1\ndata: ');
		const usedBefore = usedMemory();
		const streams = Array.from({ length: STREAMS }, () => EventStream.create(true));
		for (const stream of streams) {
			stream.push(begin);
			while (stream.findFault() === undefined) {
				stream.push(piece);
			}
		}
		expect(usedMemory() - usedBefore).toBeLessThan(MEMORY_OF_INSTANCE_BYTES / 3);
		expect(streams.every((stream) => stream.findFault() !== undefined)).toBe(true);
	});

	// Guards against large events that are kept after they have been passed on, one or two for each open stream.
	test('the last events of many streams fit into the memory of an instance', () => {
		const usedBefore = usedMemory();
		const streams = Array.from({ length: STREAMS }, () => EventStream.create(true));
		for (const stream of streams) {
			stream.push(Buffer.from(`id: 1\ndata: ${'x'.repeat(900_000)}\n\n`));
			stream.push(Buffer.from(`data: ${'x'.repeat(900_000)}\n\n`));
		}
		expect(new Set(streams.map(({ lastEventId }) => lastEventId))).toEqual(new Set(['1']));
		expect(usedMemory() - usedBefore).toBeLessThan(MEMORY_OF_INSTANCE_BYTES / 3);
	});

	// Guards against copying and searching an event again with each of its pieces, which occupied the processor.
	test('copies an event in many pieces a constant number of times', () => {
		let copiedBytes = 0;
		const concatenate = Buffer.concat.bind(Buffer);
		jest.spyOn(Buffer, 'concat').mockImplementation((list) => {
			const joined = concatenate(list);
			copiedBytes += joined.length;
			return joined;
		});
		const copy = jest.spyOn(Buffer.prototype, 'copy');
		const event = Buffer.from(`data: ${'x'.repeat(MAXIMUM_EVENT_BYTES - 100)}\n\n`);
		const stream = EventStream.create(true);
		const passed = cut(event, multiplesOf(64)).flatMap((piece) => stream.push(piece) ?? []);
		copiedBytes += copy.mock.results.reduce((sum, { value }) => sum + Number(value), 0);
		jest.restoreAllMocks();
		expect(passed.map((part) => part.equals(event))).toEqual([true]);
		expect(copiedBytes).toBeGreaterThan(0);
		expect(copiedBytes).toBeLessThan(5 * event.length);
	});
});
