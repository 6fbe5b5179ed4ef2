/**
 * Maximum number of routers in a small fleet. In a larger one, a message or a call by each router for each event costs
 * more than the events themselves.
 */
export const MAXIMUM_SMALL_FLEET_ROUTERS = 16;
