import { TARGET_LOAD } from '../../shares/common/capacityEstimator.js';

/** Mean fraction of the slots in use above which requests begin to wait for a slot although servers differ in load. */
const TARGET_SLOT_USE = 0.85;

/**
 * Converts the slots in use to the scale of the prefill load, so that both reach the target load at the capacity of the
 * engine.
 *
 * Load pattern: fast engines prefill long prompts in a fraction of the time for which their streams occupy slots.
 *
 * @param inProgress requests in progress at an engine
 * @param slots maximum number of requests that the engine runs concurrently
 * @returns load of the engine by its slots; it equals the target load where the target fraction of the slots is in use
 */
export function slotLoad(inProgress: number, slots: number): number {
	return (TARGET_LOAD * inProgress) / (TARGET_SLOT_USE * Math.max(1, slots));
}
