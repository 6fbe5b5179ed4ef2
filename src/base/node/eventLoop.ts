/**
 * Calls a function after the event loop has polled its sockets once more.
 *
 * One iteration of the event loop reads the bytes of a connection, and only the next one detects that it has ended.
 *
 * @param callback function to call
 */
export function afterNextPoll(callback: () => void): void {
	setImmediate(() => setImmediate(callback));
}
