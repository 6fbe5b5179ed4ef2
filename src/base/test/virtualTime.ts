interface ScheduledAction {
	readonly at: number;
	readonly run: (now: number) => void;
}

/** Runs scheduled actions in the order of their times, without waiting. */
export class VirtualTime {
	/** Actions in descending order of their times. */
	private readonly actions: ScheduledAction[] = [];

	private constructor() {}

	/** @returns a schedule without actions */
	public static create(): VirtualTime {
		return new VirtualTime();
	}

	/**
	 * @param at time of the action in milliseconds
	 * @param run the action, called with its time
	 */
	public schedule(at: number, run: (now: number) => void): void {
		let low = 0;
		let high = this.actions.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((this.actions[middle]?.at ?? 0) > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}
		this.actions.splice(low, 0, { at, run });
	}

	/** @param endMs time before which actions are run, also those that they schedule */
	public runUntil(endMs: number): void {
		for (let next = this.actions.pop(); next !== undefined && next.at < endMs; next = this.actions.pop()) {
			next.run(next.at);
		}
	}
}
