/**
 * Fraction of a request's expected cost that is charged while the request runs, in addition to the service delivered so
 * far. It accounts for service that a slot in use will deliver, so that freed slots do not all go to one account.
 */
export const START_CHARGE_FRACTION = 0.25;
