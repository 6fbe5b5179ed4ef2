#!/usr/bin/env node
import { runCommandLine } from './commandLine.js';

process.exitCode = await runCommandLine(process.argv, {
	print: (line) => process.stdout.write(`${line}\n`),
	printError: (line) => process.stderr.write(`${line}\n`),
});
