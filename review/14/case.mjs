// A request that crashes each server that runs it comes again every few seconds, while the routers are stopped and started in
// turn. Counted are its arrivals at servers later than `contact_ms` after the third crash.
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { call, countStatuses, findLost, keepSending } from '../common-3/client.mjs';
import { isTroubled, runCase, startDeployment } from '../common-3/deployment.mjs';
import { hasEnded } from '../common-3/routers.mjs';
import { PLAIN_SERVICE } from '../common-3/servers.mjs';

const ROUTERS = 3;
const CONTACT_MS = 3_000;
const ALLOWED_RETRIES = 3;
const POISON_INTERVAL_MS = 4_000;
const ENGINE_DOWN_MS = 2_000;
const ROLL_GAP_MS = 1_000;
const ORDINARY_INTERVAL_MS = 60;
const WORK_MS = 300;
const POISON_PATH = '/order/deadly';

await runCase(new URL('record.txt', import.meta.url), async ({ record, track }) => {
	const deployment = await startDeployment(74, { routers: ROUTERS, engines: 1, plain: 4 });
	track(deployment);
	const { fleet, servers } = deployment;
	const crashes = [];
	const arrivals = [];
	const termAt = new Map();
	/** Routers that have run for more than `contact_ms` without a signal, longest first. */
	const inTouch = () =>
		[...fleet.routers.values()]
			.filter(({ child, startedAt }) => !hasEnded(child) && Date.now() - startedAt > CONTACT_MS + 500)
			.filter(({ child }) => !termAt.has(child.pid))
			.sort((one, other) => one.startedAt - other.startedAt);
	let sender;
	for (const server of servers.filter(({ service }) => service === PLAIN_SERVICE)) {
		server.workMs = WORK_MS;
		server.intercept = (request) => {
			if (request.url !== POISON_PATH) {
				return false;
			}
			const at = Date.now();
			const id = request.headers['x-request-id'];
			arrivals.push({ at, id, server: server.id, router: sender });
			record(`${id} reaches ${server.id} from router ${sender} and crashes it`);
			crashes.push(at);
			void server.crash(ENGINE_DOWN_MS);
			return true;
		};
	}
	await fleet.startAll();
	record(`${ROUTERS} routers are ready`);
	await sleep(CONTACT_MS + 1_000);
	const stopOrdinary = keepSending(() => inTouch()[0], ORDINARY_INTERVAL_MS, { path: '/order/7', body: 'order' });
	let number = 0;
	const sendPoison = async () => {
		const routers = inTouch();
		const router = routers[number % routers.length];
		const id = `deadly-${++number}`;
		sender = router.index;
		const answer = await call(router, { id, path: POISON_PATH, method: 'POST', body: 'the same body' });
		record(`${id} sent to router ${router.index}: ${answer.status === 0 ? answer.error : `status ${answer.status}`}`);
	};
	const roll = async () => {
		if (!isTroubled) {
			await sleep(CONTACT_MS);
			return;
		}
		for (let index = 1; index <= ROUTERS; index++) {
			const { child } = fleet.routers.get(index);
			termAt.set(child.pid, Date.now());
			record(`router ${index} gets SIGTERM`);
			child.kill('SIGTERM');
			while (!hasEnded(child)) {
				await sleep(20);
			}
			fleet.start(index);
			await fleet.waitReady([index]);
			record(`router ${index} is ready again`);
			await sleep(ROLL_GAP_MS);
		}
		await sleep(CONTACT_MS);
	};
	for (const [round, count] of [2, 2, 4].entries()) {
		if (round > 0) {
			await roll();
		}
		for (let sent = 0; sent < count; sent++) {
			await sendPoison();
			await sleep(POISON_INTERVAL_MS);
		}
	}
	const answers = await stopOrdinary();
	record(`ordinary orders by status: ${countStatuses(answers)}`);
	const third = crashes[2];
	const late = third === undefined ? [] : arrivals.filter(({ at }) => at > third + CONTACT_MS);
	record(`crashes: ${crashes.length}; arrivals later than ${CONTACT_MS} ms after the third: ${late.length}`);
	const lost = findLost(answers, servers).filter(({ endedAt }) => endedAt > third + CONTACT_MS);
	record(`orders run and not answered since then: ${lost.map(({ id }) => id).join(' ') || 'none'}`);
	if (third === undefined || answers.every(({ status }) => status !== 200)) {
		return 2;
	}
	return late.length > ALLOWED_RETRIES ? 1 : 0;
});
