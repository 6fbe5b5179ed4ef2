import { write } from 'node:fs';
import { createConsola } from 'consola';
import type { IClock } from '../common/clock.js';
import { type IDisposable } from '../common/lifecycle.js';

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log of decisions and events, one structured line each. */
export interface IDecisionLog {
	/**
	 * @param event name of the decision or event, in kebab case
	 * @param fields inputs, their age or version, and outcome
	 */
	write(event: string, fields: LogFields): void;
}

/** Writes text without blocking and calls back when it is written. */
export type WriteText = (text: string, done: () => void) => void;

const STANDARD_OUTPUT = 1;

/** Further lines of the same second are only counted. A busy router writes a 20th of this. */
const MAXIMUM_LINES_PER_SECOND = 1_000;

/** Lines are dropped while more text than this waits to be written to standard output. */
const MAXIMUM_BUFFERED_CHARACTERS = 512 * 1_024;

/** Lines are written in batches at this interval, which saves system calls. */
const FLUSH_INTERVAL_MS = 100;

const SECOND_MS = 1_000;

/** Writes structured log lines in JSON. Lines beyond a limit are dropped, and their count is logged later. */
export class StructuredLog implements IDecisionLog, IDisposable {
	private readonly consola = createConsola({
		level: 4,
		reporters: [{ log: ({ args }) => this.append(args[0] as object) }],
	});
	private readonly timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS).unref();
	private buffer = '';
	private writing = false;
	private secondStartedAt = 0;
	private linesThisSecond = 0;
	private droppedLines = 0;

	private constructor(
		private readonly context: LogFields,
		private readonly clock: IClock,
		private readonly writeText: WriteText,
	) {}

	/**
	 * @param context fields of every line
	 * @param clock measures the limit per second
	 * @param writeText receives the lines; writes to standard output by default
	 * @returns a log
	 */
	public static create(context: LogFields, clock: IClock, writeText: WriteText = writeToStandardOutput): StructuredLog {
		return new StructuredLog(context, clock, writeText);
	}

	/** Number of lines dropped since the last `log-lines-dropped` line. */
	public get dropped(): number {
		return this.droppedLines;
	}

	public write(event: string, fields: LogFields): void {
		const now = this.clock.now();
		if (now - this.secondStartedAt >= SECOND_MS) {
			this.secondStartedAt = now;
			this.linesThisSecond = 0;
		}
		this.linesThisSecond++;
		if (this.linesThisSecond > MAXIMUM_LINES_PER_SECOND || this.buffer.length > MAXIMUM_BUFFERED_CHARACTERS) {
			this.droppedLines++;
			return;
		}
		if (this.droppedLines > 0) {
			const lines = this.droppedLines;
			this.droppedLines = 0;
			this.consola.warn({ event: 'log-lines-dropped', lines });
		}
		this.consola.info({ event, ...fields });
	}

	/** Starts to write the buffered lines. */
	public flush(): void {
		if (this.writing || this.buffer === '') {
			return;
		}
		const text = this.buffer;
		this.buffer = '';
		this.writing = true;
		this.writeText(text, () => {
			this.writing = false;
		});
	}

	public dispose(): void {
		clearInterval(this.timer);
		this.flush();
	}

	private append(fields: object): void {
		this.buffer += `${JSON.stringify({ time: new Date().toISOString(), ...this.context, ...fields })}\n`;
	}
}

// Writing through process.stdout blocks the process while a pipe is full.
function writeToStandardOutput(text: string, done: () => void): void {
	const bytes = Buffer.from(text, 'utf8');
	const writeRest = (offset: number): void => {
		write(STANDARD_OUTPUT, bytes, offset, (error, written) => {
			if (error?.code === 'EAGAIN') {
				setTimeout(() => writeRest(offset), FLUSH_INTERVAL_MS).unref();
			} else if (error === null && offset + written < bytes.length) {
				writeRest(offset + written);
			} else {
				done();
			}
		});
	};
	writeRest(0);
}
