import sade from 'sade';
import { VERSION } from '../../base/common/version.js';
import { ConfigurationPublisher } from '../../configuration/node/configurationPublisher.js';
import { EtcdStore } from '../../store/node/etcdStore.js';
import { HttpInstanceList } from '../../store/node/httpInstanceList.js';
import { type AdminOptions, DEFAULT_ADMIN_ADDRESS } from './adminClient.js';
import { apply } from './applyCommand.js';
import { check } from './checkCommand.js';
import { dump } from './dumpCommand.js';
import { EXIT_FAILED, EXIT_OK, EXIT_USAGE, type CommandOutput, UsageError } from './exitCodes.js';
import { explain } from './explainCommand.js';
import { fairness } from './fairnessCommand.js';
import type { RouterSource } from './fleetStatus.js';
import { LOSS_GROUPS, losses, type LossGrouping } from './lossesCommand.js';
import { status } from './statusCommand.js';
import { trace } from './traceCommand.js';

const DEFAULT_WAIT_LIMIT_MS = 30_000;
const DEFAULT_STORE_LIMIT_MS = 30_000;

const TEXT_OPTIONS = [
	'by',
	'store',
	'instances',
	'admin',
	'certificate',
	'key',
	'authority',
	'base',
	'wait-limit-ms',
	'store-limit-ms',
];

type Command = (...parameters: readonly unknown[]) => Promise<number>;

/** Values of options by name; an option that is given more than once has an array. */
type Values = Readonly<Record<string, string | boolean | readonly string[] | undefined>>;

/**
 * Runs one command.
 *
 * @param argv arguments as in `process.argv`
 * @param output receives the messages
 * @returns the exit code
 */
export async function runCommandLine(argv: readonly string[], output: CommandOutput): Promise<number> {
	const command = parseCommand(argv, output);
	if (command === undefined) {
		return EXIT_OK;
	}
	try {
		return await command();
	} catch (error) {
		output.printError(`masticloom: ${(error as Error).message}`);
		return error instanceof UsageError ? EXIT_USAGE : EXIT_FAILED;
	}
}

/** @returns the command to run, or undefined when help was printed */
function parseCommand(argv: readonly string[], output: CommandOutput): (() => Promise<number>) | undefined {
	// On invalid usage, the library prints a message and exits with code 1.
	const setUsageExitCode = (): void => {
		process.exitCode = EXIT_USAGE;
	};
	process.once('exit', setUsageExitCode);
	// Contrary to the library's types, the result is undefined after help was printed.
	const parsed = defineCommands(output).parse([...argv], {
		lazy: true,
		string: TEXT_OPTIONS,
		unknown: (flag) => `Unknown option ${flag}`,
	}) as { readonly handler: Command; readonly args: readonly unknown[] } | undefined;
	process.off('exit', setUsageExitCode);
	return parsed && (() => parsed.handler(...parsed.args));
}

function defineCommands(output: CommandOutput): ReturnType<typeof sade> {
	const program = sade('masticloom')
		.version(VERSION)
		.describe('Applies configurations to a fleet of routers and shows its state.');
	program
		.command('check <file>', 'Check a configuration file.')
		.action((file: string) => Promise.resolve(check(file, output)));
	withRouterOptions(program.command('apply <file>', 'Put a configuration file in force.'))
		.option('--store', 'URL of the key-value store (required)')
		.option('--base', 'Version that the file was made from; refuse when the store has another one')
		.option('--wait', 'Wait until every router has the version in force', false)
		.option('--wait-limit-ms', `Longest wait for routers (default ${DEFAULT_WAIT_LIMIT_MS})`)
		.option('--store-limit-ms', `Longest time to try while the store fails (default ${DEFAULT_STORE_LIMIT_MS})`)
		.action(async (file: string, values: Values) => {
			const wait = values.wait === true;
			const options = {
				base: integerOption(values, 'base'),
				wait,
				waitLimitMs: integerOption(values, 'wait-limit-ms') ?? DEFAULT_WAIT_LIMIT_MS,
				routers: routerSource(values, wait),
			};
			return apply(file, createPublisher(urlOption(values, 'store'), values), options, output);
		});
	withRouterOptions(program.command('status', 'Show the version in the store and in each router.'))
		.option('--store', 'URL of the key-value store')
		.option('--store-limit-ms', `Longest time to try while the store fails (default ${DEFAULT_STORE_LIMIT_MS})`)
		.action(async (values: Values) => {
			const publisher = values.store === undefined ? undefined : createPublisher(urlOption(values, 'store'), values);
			return status(publisher, routerSource(values, true), output);
		});
	program
		.command('trace <request> <file>', 'Show the decisions on one request from saved logs; more files may follow.')
		.example('trace 9c41d07be2a35f68 edge-1.log edge-2.log')
		.action((request: string, file: string, values: Values & { readonly _?: readonly string[] }) =>
			trace(request, [file, ...(values._ ?? [])], output),
		);
	program
		.command(
			'fairness <file>',
			'Compare the service of accounts that waited with that of the best served one, from saved logs.',
		)
		.example('fairness edge-1.log edge-2.log')
		.action((file: string, values: Values & { readonly _?: readonly string[] }) =>
			fairness([file, ...(values._ ?? [])], output),
		);
	program
		.command('losses <file>', 'Show what became of all requests, and why, from saved logs; more files may follow.')
		.option('--by', `Group the requests by ${LOSS_GROUPS.join(', ')}`, 'all')
		.example('losses --by account edge-1.log edge-2.log')
		.action((file: string, values: Values & { readonly _?: readonly string[] }) =>
			losses([file, ...(values._ ?? [])], lossGrouping(values), output),
		);
	defineRouterCommands(program, output);
	return program;
}

function lossGrouping(values: Values): LossGrouping {
	const value = textOption(values, 'by');
	const grouping = LOSS_GROUPS.find((item) => item === value);
	if (grouping === undefined) {
		throw new UsageError(`--by: '${value ?? ''}' is none of ${LOSS_GROUPS.join(', ')}`);
	}
	return grouping;
}

/** Defines the commands that query one router. */
function defineRouterCommands(program: ReturnType<typeof sade>, output: CommandOutput): void {
	withCertificateOptions(program.command('dump', 'Print the state of one router as JSON.'))
		.option('--admin', `Admin address of the router (default ${DEFAULT_ADMIN_ADDRESS})`)
		.action(async (values: Values) => {
			await dump(adminOptions(values), output.print);
			return EXIT_OK;
		});
	withCertificateOptions(program.command('explain <account>', 'Show why requests of an account wait at one router.'))
		.option('--admin', `Admin address of the router (default ${DEFAULT_ADMIN_ADDRESS})`)
		.option('--json', 'Print JSON instead of text', false)
		.action(async (account: string, values: Values) => {
			await explain(account, { ...adminOptions(values), json: values.json === true }, output.print);
			return EXIT_OK;
		});
}

function withRouterOptions(program: ReturnType<typeof sade>): ReturnType<typeof sade> {
	return withCertificateOptions(program)
		.option('--instances', 'URL of the instance list, whose label admin gives the admin address of each router')
		.option('--admin', 'Admin addresses of the routers, separated by commas, instead of the instance list');
}

function withCertificateOptions(program: ReturnType<typeof sade>): ReturnType<typeof sade> {
	return program
		.option('--certificate', 'PEM file with your certificate for admin addresses')
		.option('--key', 'PEM file with its key')
		.option('--authority', 'PEM file with the authority that signs the certificates of the routers');
}

function routerSource(values: Values, required: boolean): RouterSource {
	const addresses = [values.admin ?? []].flat().flatMap((item) => String(item).split(','));
	const list = values.instances === undefined ? undefined : HttpInstanceList.create(urlOption(values, 'instances'));
	if (required && addresses.length === 0 && list === undefined) {
		throw new UsageError('--instances or --admin is required to find the routers');
	}
	return { addresses, list, certificates: certificateOptions(values) };
}

function adminOptions(values: Values): AdminOptions {
	return { admin: textOption(values, 'admin') ?? DEFAULT_ADMIN_ADDRESS, ...certificateOptions(values) };
}

function certificateOptions(values: Values): Omit<AdminOptions, 'admin'> {
	const files = {
		certificate: textOption(values, 'certificate'),
		key: textOption(values, 'key'),
		authority: textOption(values, 'authority'),
	};
	const given = Object.values(files).filter((file) => file !== undefined).length;
	if (given !== 0 && given !== Object.keys(files).length) {
		throw new UsageError('--certificate, --key and --authority must be given together');
	}
	return files;
}

function createPublisher(storeUrl: string, values: Values): ConfigurationPublisher {
	const limit = integerOption(values, 'store-limit-ms') ?? DEFAULT_STORE_LIMIT_MS;
	return ConfigurationPublisher.create(EtcdStore.create(storeUrl), limit);
}

function urlOption(values: Values, name: string): string {
	const value = textOption(values, name);
	if (value === undefined) {
		throw new UsageError(`--${name} is required`);
	}
	if (!URL.canParse(value)) {
		throw new UsageError(`--${name}: '${value}' is not a URL`);
	}
	return value;
}

function integerOption(values: Values, name: string): number | undefined {
	const value = textOption(values, name);
	if (value !== undefined && !/^\d+$/.test(value)) {
		throw new UsageError(`--${name}: '${value}' is not a whole number`);
	}
	return value === undefined ? undefined : Number(value);
}

function textOption(values: Values, name: string): string | undefined {
	const value = values[name];
	if (value === undefined) {
		return undefined;
	}
	if (typeof value !== 'string' || value === '') {
		throw new UsageError(`--${name} takes one value`);
	}
	return value;
}
