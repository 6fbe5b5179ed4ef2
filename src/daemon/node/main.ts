#!/usr/bin/env node
import { Effect } from 'effect';
import sade from 'sade';
import { VERSION } from '../../base/common/version.js';
import { getLogger, setLogLevel } from '../../base/node/log.js';
import { runDaemon } from './daemon.js';
import { watchSignals } from './signals.js';
import { loadStartupInputs } from './startUp.js';

/** Invalid settings, unreadable files or addresses in use. A restart would fail in the same way. */
const EXIT_CANNOT_START = 2;
/** Requests were aborted before their response was complete. */
const EXIT_ABORTED_REQUESTS = 1;

const log = getLogger('daemon');

interface Options {
	readonly settings?: unknown;
}

sade('masticloomd', true)
	.version(VERSION)
	.describe('Runs one masticloom router.')
	.option('--settings', 'INI file with the settings of this router (required)')
	.example('--settings /etc/masticloom/router.ini')
	.action(start)
	.parse(process.argv, {
		unknown: (flag: string) => exitWithFaults([`unknown option ${flag}; see masticloomd --help`]),
	});

async function start({ settings: path }: Options): Promise<void> {
	if (typeof path !== 'string') {
		return exitWithFaults(['--settings FILE is required; see masticloomd --help']);
	}
	const inputs = loadStartupInputs(path);
	if (inputs.isErr) {
		return exitWithFaults(inputs.error);
	}
	setLogLevel(inputs.value.settings.log.level);
	const result = await Effect.runPromise(Effect.result(runDaemon(inputs.value, watchSignals())));
	if (result._tag === 'Failure') {
		return exitWithFaults(result.failure);
	}
	const { end, cut } = result.success;
	log.info(cut === 0 ? 'All requests were answered.' : `${cut} requests were ended early (${end}).`);
	process.exit(cut === 0 ? 0 : EXIT_ABORTED_REQUESTS);
}

function exitWithFaults(faults: readonly string[]): never {
	process.stderr.write(faults.map((fault) => `masticloomd: ${fault}\n`).join(''));
	process.exit(EXIT_CANNOT_START);
}
