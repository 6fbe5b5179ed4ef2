import { existsSync } from 'node:fs';
import { join } from 'node:path';

/** @type {import('jest').Config} */
export default {
	testEnvironment: 'node',
	// The cleanup wraps the setters of everything reachable from globals, and recurses without end on a running effect fiber.
	testEnvironmentOptions: { globalsCleanup: 'off' },
	// Git keeps no empty directories, and jest refuses a root that does not exist.
	roots: ['platform', 'src', 'standins', 'tools']
		.filter((root) => existsSync(join(import.meta.dirname, root)))
		.map((root) => `<rootDir>/${root}`),
	testMatch: ['**/*.test.ts'],
	extensionsToTreatAsEsm: ['.ts'],
	transform: {
		'^.+\\.ts$': [
			'@swc/jest',
			{ jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'es6' } },
		],
	},
	moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
	testTimeout: 30_000,
};
