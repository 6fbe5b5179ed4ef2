/** Source of time, passed in so that tests run in virtual time. */
export interface IClock {
	/** @returns milliseconds on a clock that never goes back; its origin has no meaning */
	now(): number;
}

/** The process's monotonic clock. */
export const systemClock: IClock = { now: () => performance.now() };
