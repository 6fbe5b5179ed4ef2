/**
 * Calls back after the event loop has read its sockets once more.
 *
 * One turn of the loop reads the bytes of a connection, and only the next one notices that it has ended.
 *
 * @param callback to be called
 */
export function afterNextPoll(callback: () => void): void {
	setImmediate(() => setImmediate(callback));
}
