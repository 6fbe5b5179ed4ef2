// Stand-in of a model engine as a process of its own: streams of events. Arguments: HOST PORT ID EVENTS UNFRAMED_ONE_IN.
// One answer in UNFRAMED_ONE_IN has no length and ends with its channel (0: none); the others are sent in chunks.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import process from 'node:process';
import { setInterval } from 'node:timers';

/** All running streams get an event at each step, as in an engine that processes requests in batches. */
const STEP_MS = 150;
const [host, port, id, eventCount, unframed] = process.argv.slice(2);
const events = Number(eventCount);
const unframedOneIn = Number(unframed);

const streams = new Set();
let answers = 0;

setInterval(() => {
	for (const stream of streams) {
		stream.made++;
		const text = `id: ${stream.made}\ndata: piece ${stream.made} of ${events} of ${stream.requestId}\n\n`;
		stream.socket.write(stream.isUnframed ? text : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
		if (stream.made === events) {
			streams.delete(stream);
			stream.socket.end(stream.isUnframed ? '' : '0\r\n\r\n');
			process.stdout.write(`whole ${stream.requestId}\n`);
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
	const { socket } = response;
	const isUnframed = unframedOneIn > 0 && ++answers % unframedOneIn === 0;
	process.stdout.write(`${isUnframed ? 'run-unframed' : 'run'} ${requestId}\n`);
	const head = ['HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, `X-Signature: ${id}.${requestId}`];
	head.push('Content-Type: text/event-stream', 'Connection: close');
	if (!isUnframed) {
		head.push('Transfer-Encoding: chunked');
	}
	socket.write([...head, '', ''].join('\r\n'));
	const stream = { requestId, socket, isUnframed, made: 0 };
	streams.add(stream);
	socket.on('error', () => undefined);
	socket.once('close', () => streams.delete(stream));
});

server.listen(Number(port), host, () => process.stdout.write(`listening ${server.address().port}\n`));
