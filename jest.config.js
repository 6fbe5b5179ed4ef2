/** @type {import('jest').Config} */
export default {
	testEnvironment: 'node',
	roots: ['<rootDir>/src', '<rootDir>/standins', '<rootDir>/tools'],
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
