import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const READY_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const LAST_LINES_KEPT = 20;
// Below the range from which the system takes ports of outgoing connections, so that a router can restart on its port.
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;

// Compiled to dist/tools/fleet/, so the programs are two levels up.
const PROGRAMS = fileURLToPath(new URL('../../', import.meta.url));

/** A program of this repository that runs as a child process. */
export interface Program {
	readonly name: string;
	readonly process: ChildProcess;
	/** First line that the program printed, once it did. */
	readonly firstLine: Promise<string>;
	/** Exit code, or the signal that ended the program. */
	readonly exit: Promise<number | NodeJS.Signals>;
	/** Last lines of the program's output. */
	readonly lastLines: string[];
}

/**
 * Child processes and a temporary folder that end together. The processes are also ended when this process exits for
 * any reason that it can notice, such as an error or Ctrl-C.
 */
export class ProcessGroup {
	private readonly programs = new Set<Program>();
	private readonly folder = mkdtempSync(join(tmpdir(), 'masticloom-'));
	private readonly usedPorts = new Set<number>();
	private readonly onExit = (): void => this.endNow();
	private readonly onSignal = (): void => process.exit(130);

	private constructor() {
		process.on('exit', this.onExit);
		process.on('SIGINT', this.onSignal);
		process.on('SIGTERM', this.onSignal);
	}

	/** @returns an empty group */
	public static create(): ProcessGroup {
		return new ProcessGroup();
	}

	/**
	 * Writes a file that is removed with the group.
	 *
	 * @param name file name
	 * @param text content
	 * @returns path of the file
	 */
	public writeFile(name: string, text: string): string {
		const path = join(this.folder, name);
		writeFileSync(path, text);
		return path;
	}

	/**
	 * Starts a program of this repository.
	 *
	 * @param name name in messages
	 * @param script path of the compiled program, absolute or below dist/, such as `src/daemon/node/main.js`
	 * @param programArguments its command line
	 * @param environment variables besides those of this process
	 * @returns the running program
	 */
	public start(
		name: string,
		script: string,
		programArguments: readonly string[],
		environment: Readonly<Record<string, string>> = {},
	): Program {
		const child = spawn(process.execPath, [resolve(PROGRAMS, script), ...programArguments], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: { ...process.env, ...environment },
		});
		const lastLines: string[] = [];
		let resolveFirst: (line: string) => void;
		const firstLine = new Promise<string>((resolve) => (resolveFirst = resolve));
		const keep = (line: string): void => {
			lastLines.push(line);
			lastLines.splice(0, lastLines.length - LAST_LINES_KEPT);
		};
		createInterface(child.stdout).on('line', (line) => {
			resolveFirst(line);
			keep(line);
		});
		createInterface(child.stderr).on('line', keep);
		const exit = new Promise<number | NodeJS.Signals>((resolve) => {
			child.on('exit', (code, signal) => resolve(code ?? signal ?? 'SIGKILL'));
			child.on('error', () => resolve('SIGKILL'));
		});
		const program: Program = { name, process: child, firstLine, exit, lastLines };
		this.programs.add(program);
		void exit.then(() => this.programs.delete(program));
		return program;
	}

	/**
	 * Starts a stand-in and waits until it is ready.
	 *
	 * @param name name in messages
	 * @param script path of the compiled program below dist/
	 * @param programArguments its command line without `--port`
	 * @returns the program and the JSON object of its first line
	 * @throws Error when the stand-in ends or prints no address in time
	 */
	public async startStandIn(
		name: string,
		script: string,
		programArguments: readonly string[],
	): Promise<{ readonly program: Program; readonly ready: Readonly<Record<string, unknown>> }> {
		const program = this.start(name, script, ['--port', '0', ...programArguments]);
		const line = await withTimeout(
			READY_LIMIT_MS,
			`${name} printed no address`,
			rejectIfExited(program, program.firstLine),
		);
		return { program, ready: JSON.parse(line) as Record<string, unknown> };
	}

	/** @returns a TCP port that nothing listens on, never the same one twice */
	public async findFreePort(): Promise<number> {
		for (;;) {
			const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
			if (!this.usedPorts.has(port) && (await isFree(port))) {
				this.usedPorts.add(port);
				return port;
			}
		}
	}

	/** Ends all programs at once and removes the folder. */
	public async end(): Promise<void> {
		const exits = [...this.programs].map((program) => program.exit);
		this.endNow();
		await Promise.all(exits);
		process.off('exit', this.onExit);
		process.off('SIGINT', this.onSignal);
		process.off('SIGTERM', this.onSignal);
	}

	private endNow(): void {
		for (const program of this.programs) {
			program.process.kill('SIGKILL');
		}
		rmSync(this.folder, { recursive: true, force: true });
	}
}

/**
 * Waits for a value, but not longer than the program runs.
 *
 * @param program the program that must stay alive
 * @param value what is waited for
 * @returns the value
 * @throws Error with the program's last output when it ends first
 */
export function rejectIfExited<T>(program: Program, value: Promise<T>): Promise<T> {
	const ended = program.exit.then((status): never => {
		throw new Error(`${program.name} ended with ${status}:\n${program.lastLines.join('\n')}`);
	});
	return Promise.race([value, ended]);
}

/**
 * Waits for a value up to a limit.
 *
 * @param limitMs limit in milliseconds
 * @param message text of the error
 * @param value what is waited for
 * @returns the value
 * @throws Error when the limit passes first
 */
export async function withTimeout<T>(limitMs: number, message: string, value: Promise<T>): Promise<T> {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<never>((_, reject) => {
		timer = setTimeout(() => reject(new Error(`${message} within ${limitMs} ms`)), limitMs);
	});
	try {
		return await Promise.race([value, limit]);
	} finally {
		clearTimeout(timer);
	}
}

/**
 * Polls until a condition holds.
 *
 * @param limitMs limit in milliseconds
 * @param what what is waited for, for the error
 * @param check says whether the condition holds, or why not yet; an error counts as a reason
 * @throws Error when the limit passes first
 */
export async function pollUntil(limitMs: number, what: string, check: () => Promise<true | string>): Promise<void> {
	const end = performance.now() + limitMs;
	let last = '';
	while (performance.now() < end) {
		try {
			const result = await check();
			if (result === true) {
				return;
			}
			last = result;
		} catch (error) {
			last = String(error);
		}
		await sleep(POLL_INTERVAL_MS);
	}
	throw new Error(`${what}: not within ${limitMs} ms: ${last}`);
}

/**
 * @param milliseconds how long to wait
 * @returns a promise that resolves afterwards
 */
export function sleep(milliseconds: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function isFree(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => resolve(false));
		server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
	});
}
