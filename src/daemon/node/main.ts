#!/usr/bin/env node
import sade from 'sade';
import { setLogLevel, logOf } from '../../base/node/log.js';
import { formatFault } from '../../settings/common/settings.js';
import { readSettings } from '../../settings/node/parseSettings.js';
import { Daemon } from './daemon.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const log = logOf('daemon');

sade('masticloomd', true)
	.describe('Runs one masticloom router.')
	.option('--settings', 'INI file with the settings of this router')
	.action(async (options: { readonly settings?: string }) => {
		if (options.settings === undefined) {
			process.stderr.write('masticloomd: --settings FILE is required; see masticloomd --help\n');
			process.exit(EXIT_BAD_SETTINGS);
		}
		const settings = readSettings(options.settings);
		if (settings.isErr) {
			for (const fault of settings.error) {
				process.stderr.write(`masticloomd: ${formatFault(fault)}\n`);
			}
			process.exit(EXIT_BAD_SETTINGS);
		}
		setLogLevel(settings.value.log.level);
		const daemon = Daemon.create(settings.value);
		try {
			await daemon.start();
		} catch (error) {
			log.error(`The router cannot start: ${error instanceof Error ? error.message : String(error)}.`);
			process.exit(EXIT_FAILED);
		}
		process.once('SIGTERM', () => {
			daemon.dispose();
			process.exit(0);
		});
	})
	.parse(process.argv);
