import { DeploymentBuilder, digestOfToken, idempotent, runsOnce } from '../../src/index.js';
import { sampleToken, type BackendUrlFactory } from '../sample.js';

const FAILURE_DOMAINS = ['east-1', 'east-2', 'west-1', 'west-2'] as const;
const ENGINES_PER_DOMAIN = 2;
const ENGINE_SLOTS = 8;
const APPLICATION_SLOTS = 16;

/** Shares of the 16 client accounts, by identifier. */
export const SHARES: Readonly<Record<string, number>> = {
	'almanac-north': 8,
	'almanac-south': 6,
	'tide-tables': 4,
	'farmers-yearbook': 2,
	'star-charts': 2,
	'garden-diary': 1,
	'sailing-guide': 1,
	'moon-calendar': 1,
	'village-almanac': 1,
	'school-planner': 1,
	'church-year': 1,
	'bird-notes': 1,
	'weather-lore': 1,
	'market-days': 1,
	'river-levels': 1,
	'press-office': 1,
};

/**
 * Sample deployment of Wrekin Almanac Labs: 8 engines write drafts, annotations and captions; 4 application servers
 * accept print orders and look up the catalogue.
 *
 * @param urlOf returns the base URL of a backend server
 * @returns the deployment
 */
export function wrekinAlmanacLabs(urlOf: BackendUrlFactory): DeploymentBuilder {
	const deployment = DeploymentBuilder.create();
	const drafting = deployment.pool('drafting');
	const application = deployment.pool('application');

	const modelServices = ['drafts', 'annotations', 'captions'].map((id) =>
		deployment.modelService(drafting, id, { resumable: true }),
	);
	const printOrders = deployment.plainService(application, 'print-orders', {
		calls: [runsOnce('POST', '/orders'), idempotent('PUT', '/addresses/*')],
	});
	const catalogue = deployment.plainService(application, 'catalogue', { calls: [idempotent('POST', '/lookup')] });

	for (const domain of FAILURE_DOMAINS) {
		for (let index = 1; index <= ENGINES_PER_DOMAIN; index++) {
			const id = `draft-${domain}-${index}`;
			deployment.backendServer(drafting, id, { url: urlOf(id), slots: ENGINE_SLOTS, checksFencing: false });
		}
		// The print system behind these servers rejects orders with an outdated fencing number.
		const id = `application-${domain}`;
		deployment.backendServer(application, id, { url: urlOf(id), slots: APPLICATION_SLOTS, checksFencing: true });
	}

	for (const [id, share] of Object.entries(SHARES)) {
		deployment.account(id, {
			share,
			tokenDigests: [digestOfToken(sampleToken(id))],
			services: [...modelServices, printOrders, catalogue],
		});
	}
	return deployment;
}
