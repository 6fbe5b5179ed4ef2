import type { Server } from 'node:net';

/**
 * @param server server that does not listen yet
 * @param host IP address
 * @param port TCP port; 0 picks a free one
 * @param backlog number of new connections that the operating system keeps
 * @returns the port that was bound; rejects when the address cannot be used
 */
export function listenOn(server: Server, host: string, port: number, backlog?: number): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, backlog, () => {
			server.off('error', reject);
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : port);
		});
	});
}
