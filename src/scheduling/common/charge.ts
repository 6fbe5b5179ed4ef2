/**
 * Part of a request's expected cost that is charged while the request runs, on top of the service delivered so far. It
 * stands for the service that a slot in use is about to deliver, so that freed slots do not all go to one account.
 */
export const START_CHARGE_FRACTION = 0.25;
