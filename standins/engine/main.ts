/** Runs model engine stand-ins: `--port` is the port of the first one (0 picks free ports), `--count` their number. */
import { parseArgs } from 'node:util';
import { DEFAULT_ENGINE_OPTIONS, ModelEngine } from './modelEngine.js';

const { values } = parseArgs({
	options: {
		port: { type: 'string', default: '0' },
		count: { type: 'string', default: '1' },
		slots: { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.slots) },
		'queue-limit': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.queueLimit) },
		'token-ms': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.tokenMs) },
		'prompt-tokens-per-step': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.promptTokensPerStep) },
		'cache-tokens': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.cacheTokens) },
		'metrics-lag-ms': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.metricsLagMs) },
		'least-tokens': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.minimumTokens) },
		'most-tokens': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.maximumTokens) },
		'checks-fencing': { type: 'boolean', default: false },
		'crash-marker': { type: 'string', default: DEFAULT_ENGINE_OPTIONS.crashMarker },
		'crash-exits': { type: 'boolean', default: false },
		'crash-down-ms': { type: 'string', default: String(DEFAULT_ENGINE_OPTIONS.crashDownMs) },
	},
});

const firstPort = Number(values.port);
const addresses: string[] = [];
for (let index = 0; index < Number(values.count); index++) {
	const engine = ModelEngine.create({
		slots: Number(values.slots),
		queueLimit: Number(values['queue-limit']),
		tokenMs: Number(values['token-ms']),
		promptTokensPerStep: Number(values['prompt-tokens-per-step']),
		cacheTokens: Number(values['cache-tokens']),
		metricsLagMs: Number(values['metrics-lag-ms']),
		minimumTokens: Number(values['least-tokens']),
		maximumTokens: Number(values['most-tokens']),
		checksFencing: values['checks-fencing'],
		crashMarker: values['crash-marker'],
		crashMode: values['crash-exits'] ? 'exit' : 'reset',
		crashDownMs: Number(values['crash-down-ms']),
	});
	addresses.push(await engine.listen(firstPort === 0 ? 0 : firstPort + index));
}
process.stdout.write(`${JSON.stringify({ address: addresses[0], addresses })}\n`);
