import { readFileSync } from 'node:fs';
import type { IDisposable } from '../../src/base/common/lifecycle.js';
import { type Program, withTimeout } from '../fleet/processes.js';
import { deployedNodeOptions, type PlatformFleet } from '../platformFleet/platformFleet.js';

/** Memory of the smallest machine on which routers run; a process that exceeds it is killed there. */
const MEMORY_MB = 210;
const KILOBYTES_PER_MEGABYTE = 1_024;
const SAMPLE_INTERVAL_MS = 100;

/** The 8 s that the platform grants after SIGTERM, and the time for which a router may be frozen meanwhile. */
const SHUTDOWN_LIMIT_MS = 10_000;

/** Starts and ends router processes, and records those that end untold or exceed the memory of their machine. */
export class RouterWatch implements IDisposable {
	private readonly running = new Set<Program>();
	private readonly ending = new Set<Program>();
	private readonly oversized = new Set<Program>();
	private readonly violations: string[] = [];
	private readonly timer = setInterval(
		() => this.running.forEach((program) => this.sample(program)),
		SAMPLE_INTERVAL_MS,
	);
	private highestMegabytes = 0;

	private constructor() {}

	/** @returns a watch of no processes */
	public static create(): RouterWatch {
		return new RouterWatch();
	}

	/** Highest resident memory of a process so far, in megabytes. */
	public get peakMegabytes(): number {
		return this.highestMegabytes;
	}

	/**
	 * Starts a router with the memory of the smallest machine and the command-line flags of the deployment.
	 *
	 * @param fleet that the router belongs to
	 * @param index number of the router, from 1
	 */
	public start(fleet: PlatformFleet, index: number): void {
		const settings = { 'limits.memory_mb': String(MEMORY_MB) };
		const { program } = fleet.start(index, settings, { NODE_OPTIONS: deployedNodeOptions() });
		this.running.add(program);
		void program.exit.then((status) => {
			if (this.running.delete(program) && !this.ending.has(program)) {
				this.violations.push(`${program.name} ended by itself with ${status}:\n${program.lastLines.join('\n')}`);
			}
		});
	}

	/**
	 * Tells a router to end, and waits until it has.
	 *
	 * @param program of the router
	 * @param signal that it is sent
	 */
	public async end(program: Program, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		this.ending.add(program);
		program.process.kill(signal);
		try {
			await withTimeout(SHUTDOWN_LIMIT_MS, `${program.name} did not end after ${signal}`, program.exit);
		} catch (error) {
			this.violations.push(`${String(error)}:\n${program.lastLines.join('\n')}`);
			program.process.kill('SIGKILL');
			await program.exit;
		}
	}

	/** @returns messages for all violations so far */
	public findViolations(): readonly string[] {
		return this.violations;
	}

	public dispose(): void {
		clearInterval(this.timer);
		this.running.clear();
	}

	private sample(program: Program): void {
		const megabytes = readPeakMegabytes(program.process.pid);
		this.highestMegabytes = Math.max(this.highestMegabytes, megabytes);
		if (megabytes >= MEMORY_MB && !this.oversized.has(program)) {
			this.oversized.add(program);
			this.violations.push(`${program.name} needed ${megabytes} of ${MEMORY_MB} MB`);
		}
	}
}

/** Highest resident memory of a process in megabytes; 0 when it has ended. */
function readPeakMegabytes(pid: number | undefined): number {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8');
		return Math.round(Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE);
	} catch {
		return 0;
	}
}
