/** Largest value of the unsigned 32-bit fields of messages; it stands for any larger value. */
export const MAXIMUM_WIRE_COUNT = 0xffff_ffff;

/**
 * Rounds a count for a 32-bit field of a message. Encoding throws for a value that does not fit, and some values follow from
 * sizes that callers state or from how long a router has been running.
 *
 * @param value of any size; also infinite, or not a number
 * @returns the nearest whole number that the field can hold, 0 for what is not a number
 */
export function toWireCount(value: number): number {
	return Number.isNaN(value) ? 0 : Math.min(MAXIMUM_WIRE_COUNT, Math.max(0, Math.round(value)));
}
