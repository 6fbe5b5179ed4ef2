import { readFileSync } from 'node:fs';
import { expect, test } from '@jest/globals';
import { VERSION } from '../common/version.js';

// Guards against a release whose programs report a version other than that of the package.
test('the programs report the version of the package', () => {
	expect(JSON.parse(readFileSync('package.json', 'utf8'))).toMatchObject({ version: VERSION });
});
