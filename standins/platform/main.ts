import { parseArgs } from 'node:util';
import { PlatformStandIn } from './platformStandIn.js';

const { values } = parseArgs({
	options: { port: { type: 'string', default: '0' }, 'store-port': { type: 'string', default: '0' } },
});
const standIn = await PlatformStandIn.start({ port: Number(values.port), storePort: Number(values['store-port']) });
const started = { address: standIn.address, store: standIn.storeUrl, instances: standIn.instanceListUrl };
process.stdout.write(`${JSON.stringify(started)}\n`);
const stop = (): void => void standIn.close().then(() => process.exit(0));
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
