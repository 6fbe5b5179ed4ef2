// Stand-in of a model engine as a process of its own: streams of events in answers that have no length and end with their
// channel (PROTOCOL.md: "An engine's answer may have no length and end with its channel"). Arguments: HOST PORT ID EVENTS.
import { createServer } from 'node:http';
import process from 'node:process';
import { setInterval } from 'node:timers';

/** All running streams get an event at each step, as in an engine that processes requests in batches. */
const STEP_MS = 150;
const [host, port, id, eventCount] = process.argv.slice(2);
const events = Number(eventCount);

const streams = new Set();
setInterval(() => {
	for (const stream of streams) {
		stream.made++;
		stream.socket.write(`id: ${stream.made}\ndata: piece ${stream.made} of ${events} of ${stream.requestId}\n\n`);
		if (stream.made === events) {
			// The callback runs once all bytes have been handed to the operating system, which delivers them.
			stream.socket.end(() => {
				process.stdout.write(`whole ${stream.requestId}\n`);
				streams.delete(stream);
			});
		}
	}
}, STEP_MS);

const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
	request.resume();
	const requestId = request.headers['x-request-id'] ?? '';
	const target = request.headers['x-target-instance'];
	if (target !== undefined && target !== id) {
		response.writeHead(421, { 'X-Request-Id': requestId, 'X-Not-Executed': 'true', 'Content-Length': 0 }).end();
		return;
	}
	process.stdout.write(`run ${requestId}\n`);
	const { socket } = response;
	const head = ['HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, `X-Signature: ${id}.${requestId}`];
	socket.write([...head, 'Content-Type: text/event-stream', 'Connection: close', '', ''].join('\r\n'));
	const stream = { requestId, socket, made: 0 };
	streams.add(stream);
	socket.on('error', () => undefined);
	socket.once('close', () => streams.delete(stream));
});

server.listen(Number(port), host, () => process.stdout.write(`listening ${server.address().port}\n`));
