/** The command succeeded. */
export const EXIT_OK = 0;
/** The command failed, or its outcome is unknown. */
export const EXIT_FAILED = 1;
/** The command was not run because its input or usage is invalid. */
export const EXIT_USAGE = 2;

/** Reports invalid input or usage of a command. */
export class UsageError extends Error {}

/** Output streams of a command. */
export interface CommandOutput {
	/** Writes a line to standard output. */
	readonly print: (line: string) => void;
	/** Writes a line to standard error. */
	readonly printError: (line: string) => void;
}
