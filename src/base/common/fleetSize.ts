/** In a fleet of more routers, a message or a call of each router for each event costs more than the events themselves. */
export const MAXIMUM_SMALL_FLEET_ROUTERS = 16;
