#!/usr/bin/env node
import { Effect } from 'effect';
import sade from 'sade';
import { VERSION } from '../../base/common/version.js';
import { getLogger, setLogLevel } from '../../base/node/log.js';
import { runDaemon } from './daemon.js';
import { watchSignals } from './signals.js';
import { loadStartupInputs } from './startUp.js';

/** Bad settings, files that cannot be read and addresses that are in use: another start meets them again. */
const EXIT_CANNOT_START = 2;
/** Requests were ended before their answer was complete. */
const EXIT_CUT_REQUESTS = 1;

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
	.parse(process.argv, { unknown: (flag: string) => refuse([`unknown option ${flag}; see masticloomd --help`]) });

async function start({ settings: path }: Options): Promise<void> {
	if (typeof path !== 'string') {
		return refuse(['--settings FILE is required; see masticloomd --help']);
	}
	const prepared = loadStartupInputs(path);
	if (prepared.isErr) {
		return refuse(prepared.error);
	}
	setLogLevel(prepared.value.settings.log.level);
	const result = await Effect.runPromise(Effect.result(runDaemon(prepared.value, watchSignals())));
	if (result._tag === 'Failure') {
		return refuse(result.failure);
	}
	const { end, cut } = result.success;
	log.info(cut === 0 ? 'All requests were answered.' : `${cut} requests were ended early (${end}).`);
	process.exit(cut === 0 ? 0 : EXIT_CUT_REQUESTS);
}

function refuse(faults: readonly string[]): never {
	process.stderr.write(faults.map((fault) => `masticloomd: ${fault}\n`).join(''));
	process.exit(EXIT_CANNOT_START);
}
