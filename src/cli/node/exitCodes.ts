/** The command did what was asked. */
export const EXIT_OK = 0;
/** The command failed, or its outcome is not known. */
export const EXIT_FAILED = 1;
/** The command was not started, because its input or usage is wrong. */
export const EXIT_USAGE = 2;

/** The input or the usage of a command is wrong. */
export class UsageError extends Error {}

/** Where a command writes. */
export interface CommandOutput {
	/** Writes a line to standard output. */
	readonly print: (line: string) => void;
	/** Writes a line to standard error. */
	readonly printError: (line: string) => void;
}
