import type { Server } from 'node:net';

/**
 * @param server that does not listen yet
 * @param host IP address
 * @param port TCP port; 0 picks a free one
 * @param backlog connections that may wait to be accepted; the operating system's usual number by default
 * @returns the port that was bound; fails when the address cannot be used
 */
export function listenOn(server: Server, host: string, port: number, backlog?: number): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({ port, host, backlog }, () => {
			server.off('error', reject);
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : port);
		});
	});
}
