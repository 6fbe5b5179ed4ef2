import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const MAXIMUM_LAST_LINES = 20;
// Below the ephemeral port range, so that no outgoing connection takes the port of a router while it restarts.
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;

// This file is compiled to dist/tools/fleet/, so dist/ is two levels up.
const DIST_FOLDER = fileURLToPath(new URL('../../', import.meta.url));

/** A program of this repository that runs as a child process. */
export interface Program {
	readonly name: string;
	readonly process: ChildProcess;
	/** First line of the standard output; pending until the program prints it. */
	readonly firstLine: Promise<string>;
	/** Exit code, or the signal that terminated the program. */
	readonly exit: Promise<number | NodeJS.Signals>;
	/** Last lines of the standard output and standard error, at most 20. */
	readonly lastLines: string[];
}

/**
 * Child processes that share a temporary folder and are ended together. They are also killed when this process exits
 * because of an error, SIGINT or SIGTERM, but not when it is killed with SIGKILL.
 */
export class ProcessGroup {
	private readonly programs = new Set<Program>();
	private readonly folder = mkdtempSync(join(tmpdir(), 'masticloom-'));
	private readonly usedPorts = new Set<number>();
	private readonly onExit = (): void => this.killAll();
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
	 * Writes a file to the temporary folder.
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
	 * @param name name used in messages
	 * @param script path of the compiled program, absolute or relative to dist/, such as `src/daemon/node/main.js`
	 * @param programArguments command-line arguments
	 * @param environment environment variables added to those of this process
	 * @returns the running program
	 */
	public start(
		name: string,
		script: string,
		programArguments: readonly string[],
		environment: Readonly<Record<string, string>> = {},
	): Program {
		const child = spawn(process.execPath, [resolve(DIST_FOLDER, script), ...programArguments], {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: { ...process.env, ...environment },
		});
		const lastLines: string[] = [];
		let resolveFirstLine: (line: string) => void;
		const firstLine = new Promise<string>((resolve) => (resolveFirstLine = resolve));
		const appendLine = (line: string): void => {
			lastLines.push(line);
			lastLines.splice(0, lastLines.length - MAXIMUM_LAST_LINES);
		};
		createInterface(child.stdout).on('line', (line) => {
			resolveFirstLine(line);
			appendLine(line);
		});
		createInterface(child.stderr).on('line', appendLine);
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
	 * Starts a stand-in on a free port and waits until it prints its address.
	 *
	 * @param name name used in messages
	 * @param script path of the compiled program, relative to dist/
	 * @param programArguments command-line arguments without `--port`
	 * @returns the program, and the JSON object that it printed as its first line
	 * @throws Error when the stand-in exits or prints no line within 20 s
	 */
	public async startStandIn(
		name: string,
		script: string,
		programArguments: readonly string[],
	): Promise<{ readonly program: Program; readonly ready: Readonly<Record<string, unknown>> }> {
		const program = this.start(name, script, ['--port', '0', ...programArguments]);
		const line = await withTimeout(
			READY_TIMEOUT_MS,
			`${name} printed no address`,
			rejectIfExited(program, program.firstLine),
		);
		return { program, ready: JSON.parse(line) as Record<string, unknown> };
	}

	/** @returns a free TCP port of 127.0.0.1 that this group has not returned before */
	public async findFreePort(): Promise<number> {
		for (;;) {
			const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
			if (!this.usedPorts.has(port) && (await isFree(port))) {
				this.usedPorts.add(port);
				return port;
			}
		}
	}

	/** Kills all programs, waits until they have exited, and removes the temporary folder. */
	public async end(): Promise<void> {
		const exits = [...this.programs].map((program) => program.exit);
		this.killAll();
		await Promise.all(exits);
		process.off('exit', this.onExit);
		process.off('SIGINT', this.onSignal);
		process.off('SIGTERM', this.onSignal);
	}

	private killAll(): void {
		for (const program of this.programs) {
			program.process.kill('SIGKILL');
		}
		rmSync(this.folder, { recursive: true, force: true });
	}
}

/**
 * Waits for a value, and rejects when a program exits first.
 *
 * @param program the program that must keep running
 * @param value promise of the value
 * @returns the value
 * @throws Error with the last lines of the program's output when it exits before the value is there
 */
export function rejectIfExited<T>(program: Program, value: Promise<T>): Promise<T> {
	const exited = program.exit.then((status): never => {
		throw new Error(`${program.name} ended with ${status}:\n${program.lastLines.join('\n')}`);
	});
	return Promise.race([value, exited]);
}

/**
 * Waits for a value with a timeout.
 *
 * @param timeoutMs timeout in milliseconds
 * @param failureText what has failed on a timeout, for the error message
 * @param value promise of the value
 * @returns the value
 * @throws Error when the timeout passes first
 */
export async function withTimeout<T>(timeoutMs: number, failureText: string, value: Promise<T>): Promise<T> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<never>((_, reject) => {
		timer = setTimeout(() => reject(new Error(`${failureText} within ${timeoutMs} ms`)), timeoutMs);
	});
	try {
		return await Promise.race([value, timeout]);
	} finally {
		clearTimeout(timer);
	}
}

/**
 * Polls until a condition holds.
 *
 * @param timeoutMs timeout in milliseconds
 * @param condition the condition, for the error message
 * @param check returns true, or the reason why the condition does not hold yet; an exception counts as a reason
 * @throws Error with the last reason when the timeout passes first
 */
export async function pollUntil(
	timeoutMs: number,
	condition: string,
	check: () => Promise<true | string>,
): Promise<void> {
	const end = performance.now() + timeoutMs;
	let lastReason = '';
	while (performance.now() < end) {
		try {
			const result = await check();
			if (result === true) {
				return;
			}
			lastReason = result;
		} catch (error) {
			lastReason = String(error);
		}
		await sleep(POLL_INTERVAL_MS);
	}
	throw new Error(`${condition}: timed out after ${timeoutMs} ms: ${lastReason}`);
}

/**
 * @param milliseconds time to wait
 * @returns a promise that resolves after that time
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
