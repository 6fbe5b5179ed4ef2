import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { once } from 'node:events';
import * as net from 'node:net';
import { Relay } from '../relay.js';

describe('Relay', () => {
	let echo: net.Server;
	let relay: Relay;
	let socket: net.Socket;

	beforeEach(async () => {
		echo = net.createServer((peer) => peer.pipe(peer)).listen(0, '127.0.0.1');
		await once(echo, 'listening');
		relay = Relay.create(0.5);
		const target = `127.0.0.1:${(echo.address() as net.AddressInfo).port}`;
		const address = await relay.add({ from: 'a', to: 'b', target });
		socket = net.connect(Number(address.split(':')[1]), '127.0.0.1');
		await once(socket, 'connect');
	});

	afterEach(() => {
		socket.destroy();
		relay.close();
		echo.close();
	});

	// Guards against control traffic that is counted for the wrong router, or twice.
	test('forwards in both directions and counts bytes per router', async () => {
		socket.write('12345');
		await once(socket, 'data');
		expect(relay.counts()).toEqual({ a: { sent: 5, received: 5 }, b: { sent: 5, received: 5 } });
	});

	// Guards against a partition that lets bytes through, loses them, or resets connections.
	test('buffers bytes during a partition and delivers them afterwards', async () => {
		relay.partition([['a'], ['b']]);
		let received = '';
		let closed = false;
		socket.on('data', (data) => (received += data.toString()));
		socket.on('close', () => (closed = true));
		socket.write('held');
		await new Promise((resolve) => setTimeout(resolve, 50));
		expect([received, closed]).toEqual(['', false]);
		relay.partition([]);
		await once(socket, 'data');
		expect(received).toBe('held');
	});
});
