import { write } from 'node:fs';
import { createConsola } from 'consola';
import type { IClock } from '../common/clock.js';
import { type IDisposable } from '../common/lifecycle.js';

/** Values of one log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one structured line for each decision. */
export interface IDecisionLog {
	/**
	 * @param event what was decided or has happened, in words joined by dashes
	 * @param fields inputs, their age or version, and outcome
	 */
	write(event: string, fields: LogFields): void;
}

/** Takes encoded text and calls back when it is written, without blocking. */
export type WriteText = (text: string, done: () => void) => void;

const STANDARD_OUTPUT = 1;

/** Lines in one second above which only a count is kept; 20 times the lines of a busy router. */
const MAXIMUM_LINES_PER_SECOND = 1_000;

/** Text that waits for a reader of standard output before lines are dropped. */
const MAXIMUM_BUFFERED_CHARACTERS = 512 * 1_024;

/** Lines are written together after this time, which saves system calls. */
const FLUSH_INTERVAL_MS = 100;

const SECOND_MS = 1_000;

/** Structured log lines in JSON. Lines beyond a bound are counted, and the count is written later. */
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
	 * @param clock measures the bound per second
	 * @param writeText receives lines; standard output by default
	 * @returns a log
	 */
	public static create(context: LogFields, clock: IClock, writeText: WriteText = writeToStandardOutput): StructuredLog {
		return new StructuredLog(context, clock, writeText);
	}

	/** Lines that were not written since the last line about them. */
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

	/** Starts to write what is buffered. */
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

// Writes through process.stdout block the process while a pipe is full.
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
