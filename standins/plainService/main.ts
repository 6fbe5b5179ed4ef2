/** Runs plain service stand-ins: `--port` is the port of the first one (0 picks free ports), `--count` their number. */
import { parseArgs } from 'node:util';
import { DEFAULT_PLAIN_SERVICE_OPTIONS, PlainService } from './plainService.js';

const { values } = parseArgs({
	options: {
		port: { type: 'string', default: '0' },
		count: { type: 'string', default: '1' },
		slots: { type: 'string', default: String(DEFAULT_PLAIN_SERVICE_OPTIONS.slots) },
		'service-ms': { type: 'string', default: String(DEFAULT_PLAIN_SERVICE_OPTIONS.serviceMs) },
		'checks-fencing': { type: 'boolean', default: false },
		'crash-down-ms': { type: 'string', default: String(DEFAULT_PLAIN_SERVICE_OPTIONS.crashDownMs) },
		'answer-bytes': { type: 'string', default: String(DEFAULT_PLAIN_SERVICE_OPTIONS.responseBytes) },
	},
});

const firstPort = Number(values.port);
const addresses: string[] = [];
for (let index = 0; index < Number(values.count); index++) {
	const service = PlainService.create({
		slots: Number(values.slots),
		serviceMs: Number(values['service-ms']),
		checksFencing: values['checks-fencing'],
		crashDownMs: Number(values['crash-down-ms']),
		responseBytes: Number(values['answer-bytes']),
	});
	addresses.push(await service.listen(firstPort === 0 ? 0 : firstPort + index));
}
process.stdout.write(`${JSON.stringify({ address: addresses[0], addresses })}\n`);
