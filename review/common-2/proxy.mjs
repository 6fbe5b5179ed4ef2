// TCP proxy on loopback whose open channels can be made silent: nothing passes on them any more, in neither direction, and
// they are not closed. New channels work.
import net from 'node:net';

export class Proxy {
	channels = new Set();

	constructor(targetHost, targetPort) {
		Object.assign(this, { targetHost, targetPort });
	}

	async listen(host) {
		this.server = net.createServer({ allowHalfOpen: true }, (from) => {
			const to = net.connect({ host: this.targetHost, port: this.targetPort, allowHalfOpen: true });
			const channel = { from, to, isSilent: false };
			this.channels.add(channel);
			const pass = (source, target) => {
				source.on('data', (bytes) => {
					if (!channel.isSilent) {
						target.write(bytes);
					}
				});
				source.on('end', () => {
					if (!channel.isSilent) {
						target.end();
					}
				});
				source.on('error', () => undefined);
				source.on('close', () => {
					if (!channel.isSilent) {
						target.destroy();
					}
					if (from.destroyed && to.destroyed) {
						this.channels.delete(channel);
					}
				});
			};
			pass(from, to);
			pass(to, from);
		});
		await new Promise((resolve) => this.server.listen(0, host, resolve));
		this.host = host;
		this.port = this.server.address().port;
		return this;
	}

	/** Makes all channels that are open now silent for good. Returns their number. */
	silence() {
		this.channels.forEach((channel) => (channel.isSilent = true));
		return this.channels.size;
	}

	close() {
		this.server.close();
		this.channels.forEach(({ from, to }) => {
			from.destroy();
			to.destroy();
		});
	}
}
