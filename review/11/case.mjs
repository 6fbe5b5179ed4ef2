// Callers send requests with more than 1,000 header fields, which stay inside `max_header_bytes`. What a server runs must
// be what the caller has sent.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { isTroubled, runCase, startDeployment } from '../common-3/deployment.mjs';
import { HOST, KEY } from '../common-3/servers.mjs';

const MAXIMUM_HEADER_BYTES = 16_384;
const EXTRA_FIELDS = isTroubled ? 1_100 : 900;
const PROMPT_HEADERS = { 'x-model': 'm', 'x-token-usage': '1460,80', 'x-prefix-hash': '5c1e07a2:800,91bd3f06:660' };

/** The fields of the client's program come first; those of its HTTP library follow. */
function head(path, id, last) {
	const fields = [`Host: ${HOST}`, `X-Request-Id: ${id}`, `Authorization: Bearer ${KEY}`, 'X-Deadline-Ms: 5000'];
	for (let field = 0; field < EXTRA_FIELDS; field++) {
		fields.push(`X-${field.toString(36)}: ${field % 10}`);
	}
	return `POST ${path} HTTP/1.1\r\n${[...fields, ...last].join('\r\n')}\r\n\r\n`;
}

/** Sends raw bytes and returns what arrives until the answer has ended. */
function exchange({ host, port }, bytes) {
	return new Promise((resolve) => {
		const socket = connect({ host, port });
		let text = '';
		const end = () => {
			socket.destroy();
			resolve(text);
		};
		socket.setTimeout(5_000, end);
		socket.on('error', end);
		socket.on('close', end);
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			const [answerHead, answerBody] = text.split('\r\n\r\n');
			const length = /content-length: (\d+)/i.exec(answerHead);
			const isWhole = length ? answerBody?.length >= Number(length[1]) : text.endsWith('\r\n0\r\n\r\n');
			if (answerBody !== undefined && isWhole) {
				end();
			}
		});
		socket.write(bytes);
	});
}

await runCase(new URL('record.txt', import.meta.url), async ({ record, track }) => {
	const deployment = await startDeployment(72, { routers: 2 });
	track(deployment);
	const { fleet, servers } = deployment;
	await fleet.startAll();
	const body = JSON.stringify({ order: 4711, copies: 250 });
	const sent = [];
	for (let number = 1; number <= 6; number++) {
		const router = fleet.routers.get(1 + (number % 2));
		const isOrder = number <= 4;
		const id = `${isOrder ? 'order' : 'draft'}-${number}`;
		const path = isOrder ? '/order/1' : '/draft/1';
		const promptFields = isOrder ? [] : Object.entries(PROMPT_HEADERS).map(([name, value]) => `${name}: ${value}`);
		const bytes = head(path, id, [...promptFields, `Content-Length: ${body.length}`]);
		if (bytes.length > MAXIMUM_HEADER_BYTES) {
			throw new Error(`the headers have ${bytes.length} bytes`);
		}
		record(`${id}: ${EXTRA_FIELDS + 5 + promptFields.length} header fields, ${bytes.length} bytes, body ${body}`);
		const answer = await exchange(router, bytes + body);
		record(`${id}: answered ${JSON.stringify(answer.split('\r\n')[0])}`);
		sent.push({ id, isOrder, answer });
		await sleep(100);
	}
	const runs = servers.flatMap((server) => server.runs);
	let wrong = 0;
	for (const { id, isOrder } of sent) {
		for (const run of runs.filter((candidate) => candidate.id === id)) {
			const changed = Object.entries(PROMPT_HEADERS).filter(([name, value]) => !isOrder && run.headers[name] !== value);
			const isWrong = run.body !== body || changed.length > 0;
			wrong += isWrong ? 1 : 0;
			record(
				`${id}: run by ${run.server} with the body ${JSON.stringify(run.body)}` +
					changed.map(([name]) => `, ${name}: ${run.headers[name]}`).join(''),
			);
		}
	}
	record(`runs that are not what the caller sent: ${wrong} of ${runs.length}`);
	return wrong > 0 ? 1 : 0;
});
