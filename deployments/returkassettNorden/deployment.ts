import { DeploymentBuilder, digestOfToken, idempotent, runsOnce } from '../../src/index.js';
import { sampleToken, type BackendUrlFactory } from '../sample.js';

const FAILURE_DOMAINS = ['norr-1', 'norr-2', 'syd-1', 'syd-2'] as const;
const ENGINES_PER_DOMAIN = 2;
const ENGINE_SLOTS = 8;
const APPLICATION_SLOTS = 16;
// Return histories are long and exceed the default limit.
const MAXIMUM_HISTORY_BYTES = 16_777_216;

/** Shares of the 16 client accounts, by identifier. */
export const SHARES: Readonly<Record<string, number>> = {
	'kommun-stockholm': 10,
	'region-skane': 6,
	'bank-nordost': 4,
	'skola-uppsala': 2,
	'kontor-goteborg': 2,
	'tryckeri-umea': 1,
	'byra-malmo': 1,
	'lager-jonkoping': 1,
	'klinik-lulea': 1,
	'butik-orebro': 1,
	'verkstad-gavle': 1,
	'hotell-kiruna': 1,
	'arkiv-vasteras': 1,
	'bibliotek-lund': 1,
	'forening-kalmar': 1,
	'hamn-helsingborg': 1,
};

/**
 * Sample deployment of Returkassett Norden: 8 engines read return histories, draft replies and tag shipments; 4
 * application servers book pickups and issue credit notes.
 *
 * @param urlOf returns the base URL of a backend server
 * @returns the deployment
 */
export function returkassettNorden(urlOf: BackendUrlFactory): DeploymentBuilder {
	const deployment = DeploymentBuilder.create();
	const reading = deployment.pool('reading');
	const application = deployment.pool('application');

	const histories = deployment.modelService(reading, 'histories', {
		resumable: true,
		maximumBodyBytes: MAXIMUM_HISTORY_BYTES,
	});
	const replies = deployment.modelService(reading, 'replies', { resumable: true });
	const tags = deployment.modelService(reading, 'tags');
	const pickups = deployment.plainService(application, 'pickups', {
		calls: [runsOnce('POST', '/pickups'), idempotent('POST', '/quotes')],
	});
	const creditNotes = deployment.plainService(application, 'credit-notes', { calls: [runsOnce('POST', '/notes')] });

	for (const domain of FAILURE_DOMAINS) {
		for (let index = 1; index <= ENGINES_PER_DOMAIN; index++) {
			const id = `reader-${domain}-${index}`;
			deployment.backendServer(reading, id, { url: urlOf(id), slots: ENGINE_SLOTS, checksFencing: false });
		}
		// These servers ignore fencing numbers, so only the at-most-once records protect pickups and credit notes.
		const id = `application-${domain}`;
		deployment.backendServer(application, id, { url: urlOf(id), slots: APPLICATION_SLOTS, checksFencing: false });
	}

	for (const [id, share] of Object.entries(SHARES)) {
		deployment.account(id, {
			share,
			tokenDigests: [digestOfToken(sampleToken(id))],
			services: [histories, replies, tags, pickups, creditNotes],
		});
	}
	return deployment;
}
