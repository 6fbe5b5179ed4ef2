interface TimedTask {
	readonly atMs: number;
	readonly order: number;
	readonly run: () => void;
}

/** Runs tasks in the order of their virtual time; tasks of the same time run in the order in which they were added. */
export class VirtualTime {
	private readonly heap: TimedTask[] = [];
	private order = 0;
	private nowMs = 0;

	/** Virtual time in milliseconds since the start. */
	public get now(): number {
		return this.nowMs;
	}

	/**
	 * Schedules a task.
	 *
	 * @param delayMs time until the task runs, in milliseconds
	 * @param run task to run
	 */
	public after(delayMs: number, run: () => void): void {
		this.push({ atMs: this.nowMs + delayMs, order: this.order++, run });
	}

	/**
	 * Schedules a task that repeats.
	 *
	 * @param intervalMs time before the first and between two runs, in milliseconds
	 * @param run task to run
	 */
	public every(intervalMs: number, run: () => void): void {
		const repeat = (): void => {
			run();
			this.after(intervalMs, repeat);
		};
		this.after(intervalMs, repeat);
	}

	/**
	 * Advances the virtual time and runs all tasks that become due.
	 *
	 * @param durationMs time to advance by, in milliseconds
	 */
	public runFor(durationMs: number): void {
		const until = this.nowMs + durationMs;
		for (let first = this.heap[0]; first !== undefined && first.atMs <= until; first = this.heap[0]) {
			this.pop();
			this.nowMs = first.atMs;
			first.run();
		}
		this.nowMs = until;
	}

	private push(task: TimedTask): void {
		let index = this.heap.length;
		this.heap.push(task);
		while (index > 0) {
			const parent = (index - 1) >> 1;
			const above = this.heap[parent];
			if (above === undefined || !isBefore(task, above)) {
				break;
			}
			this.heap[index] = above;
			index = parent;
		}
		this.heap[index] = task;
	}

	private pop(): void {
		const last = this.heap.pop();
		if (last === undefined || this.heap.length === 0) {
			return;
		}
		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			const right = this.heap[child + 1];
			let least = this.heap[child];
			if (least !== undefined && right !== undefined && isBefore(right, least)) {
				child++;
				least = right;
			}
			if (least === undefined || !isBefore(least, last)) {
				break;
			}
			this.heap[index] = least;
			index = child;
		}
		this.heap[index] = last;
	}
}

function isBefore(one: TimedTask, other: TimedTask): boolean {
	return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
}
