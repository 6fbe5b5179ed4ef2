import js from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

// Slices from the lowest layer to the highest. A slice may import from slices of a lower layer only;
// slices that share a layer do not import from each other.
const LAYERS = [
	['base'],
	['settings', 'store', 'peers', 'routing', 'shares'],
	['configuration', 'membership', 'idempotency', 'engines', 'streams'],
	['backends', 'scheduling', 'admission'],
	['dispatch', 'fleet'],
	['callers'],
	['gateway'],
	['admin'],
	['daemon', 'cli'],
];

function layerRules() {
	return LAYERS.flatMap((slices, level) =>
		slices.map((slice) => {
			const forbidden = LAYERS.slice(level)
				.flat()
				.filter((other) => other !== slice);
			const patterns = forbidden.map((other) => ({
				regex: `^(\\.\\./)+${other}/`,
				message: `src/${slice} must not import from src/${other}: imports go to lower layers only.`,
			}));
			patterns.push({
				regex: '^(\\.\\./)+(standins|tools|deployments|platform)/',
				message: 'Product code must not import the platform adapter, stand-ins, tools or deployments.',
			});
			return {
				files: [`src/${slice}/**/*.ts`],
				ignores: ['**/test/**', '**/*.test.ts'],
				rules: { '@typescript-eslint/no-restricted-imports': ['error', { patterns }] },
			};
		}),
	);
}

// Code under common/ runs without Node.js, so it must not reach into node/ or import Node.js modules.
const commonRule = {
	files: ['src/*/common/**/*.ts'],
	ignores: ['**/generated/**', '**/test/**'],
	rules: {
		'no-restricted-imports': [
			'error',
			{ patterns: [{ regex: '^node:|/node/', message: 'common/ must not depend on Node.js or on node/ modules.' }] },
		],
	},
};

export default tseslint.config(
	{ ignores: ['dist', 'target', 'node_modules', 'coverage', '**/generated/**'] },
	js.configs.recommended,
	{
		files: ['**/*.ts'],
		extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
		languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
		rules: {
			'@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true, allowBoolean: true }],
			'@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
			'@typescript-eslint/prefer-readonly': 'error',
			// Effects without a value are written Effect.callback<void, Failure>.
			'@typescript-eslint/no-invalid-void-type': 'off',
			// Generator functions have no arrow form, so methods written with Effect.gen need a name for their object.
			'@typescript-eslint/no-this-alias': ['error', { allowedNames: ['self'] }],
			'@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
			'@typescript-eslint/no-extraneous-class': ['error', { allowStaticOnly: true, allowConstructorOnly: true }],
		},
	},
	commonRule,
	...layerRules(),
	prettier,
);
