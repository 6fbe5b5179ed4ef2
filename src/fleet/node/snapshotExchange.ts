import * as http from 'node:http';
import { Effect } from 'effect';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { listenOn } from '../../base/node/listen.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { SocketAddress } from '../../settings/common/settings.js';
import type { Snapshot } from '../../store/common/revisionedStore.js';
import { formatRevision } from '../../store/common/storeRevision.js';
import { callJson } from '../../store/node/httpJson.js';
import type { PrefixFollower } from '../../store/node/prefixFollower.js';
import {
	SNAPSHOT_FETCH_DELAY_MS,
	SNAPSHOT_FETCH_INTERVAL_MS,
	SNAPSHOT_FETCH_TIMEOUT_MS,
} from '../common/fleetTiming.js';
import type { FleetPeer } from '../common/fleetPeer.js';
import type { FleetExchange } from './fleetExchange.js';

const SNAPSHOT_PATH = '/followed/';

/** A snapshot as sent between routers; values are encoded in base64. */
interface EncodedSnapshot {
	readonly revision: number;
	readonly entries: readonly { readonly key: string; readonly revision: number; readonly value: string }[];
}

/**
 * Copies the content of the store from peers to routers that cannot read it. Each datagram contains the revision of the
 * last change known to its sender; a router that remains behind this revision fetches a snapshot from the sender.
 */
export class SnapshotExchange extends Disposable {
	private readonly server = http.createServer((request, response) => this.handleRequest(request, response));
	private readonly agent = new http.Agent({ keepAlive: false });
	private readonly behindSince: (number | undefined)[] = [];
	private readonly fetchedAt: number[] = [];

	private constructor(
		private readonly followers: readonly PrefixFollower[],
		exchange: FleetExchange,
		private readonly clock: IClock,
		private readonly log: IDecisionLog,
	) {
		super();
		this.register(exchange.onDidUpdatePeer((peer) => this.compare(peer)));
		this.register(
			toDisposable(() => {
				this.server.close();
				this.server.closeAllConnections();
				this.agent.destroy();
			}),
		);
	}

	/**
	 * @param followers of the exchanged prefixes, in the same order on all routers
	 * @param exchange reports the revisions known to peers
	 * @param clock measures how long this router is behind
	 * @param log records fetched snapshots and failures
	 * @returns an exchange that does not listen yet
	 */
	public static create(
		followers: readonly PrefixFollower[],
		exchange: FleetExchange,
		clock: IClock,
		log: IDecisionLog,
	): SnapshotExchange {
		return new SnapshotExchange(followers, exchange, clock, log);
	}

	/**
	 * @param address at which peers send requests
	 * @returns the bound port, once requests are accepted
	 */
	public listen({ host, port }: SocketAddress): Promise<number> {
		return listenOn(this.server, host, port);
	}

	private compare(peer: FleetPeer): void {
		const now = this.clock.now();
		for (const [index, follower] of this.followers.entries()) {
			const knownRevision = follower.snapshot()?.revision ?? 0;
			if (peer.lost || (peer.followedRevisions[index] ?? 0) <= knownRevision) {
				if (this.behindSince[index] !== undefined && !peer.lost) {
					this.behindSince[index] = undefined;
				}
				continue;
			}
			const since = (this.behindSince[index] ??= now);
			const isDue = now - (this.fetchedAt[index] ?? -Infinity) >= SNAPSHOT_FETCH_INTERVAL_MS;
			if (isDue && (knownRevision === 0 || !follower.isConnected || now - since >= SNAPSHOT_FETCH_DELAY_MS)) {
				this.fetchedAt[index] = now;
				Effect.runFork(this.fetch(peer, index, follower));
			}
		}
	}

	private fetch(peer: FleetPeer, index: number, follower: PrefixFollower): Effect.Effect<void> {
		const url = new URL(`http://${peer.peerAddress.host}:${peer.peerAddress.port}${SNAPSHOT_PATH}${index}`);
		return Effect.tryPromise((signal) =>
			callJson(url, { method: 'GET', agent: this.agent, timeoutMs: SNAPSHOT_FETCH_TIMEOUT_MS, signal }),
		).pipe(
			Effect.matchEffect({
				onFailure: (error) =>
					Effect.sync(() =>
						this.log.write('peer-snapshot-failed', { peer: peer.instance, reason: String(error.cause) }),
					),
				onSuccess: (response) =>
					Effect.sync(() => {
						const snapshot = decodeSnapshot(response.body);
						if (response.status !== 200 || snapshot === undefined) {
							this.log.write('peer-snapshot-failed', { peer: peer.instance, status: response.status });
							return;
						}
						const applied = follower.apply(snapshot);
						this.log.write('peer-snapshot', {
							peer: peer.instance,
							prefix: follower.prefix,
							revision: formatRevision(snapshot.revision),
							applied,
						});
					}),
			}),
		);
	}

	private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		const index =
			request.url?.startsWith(SNAPSHOT_PATH) === true ? Number(request.url.slice(SNAPSHOT_PATH.length)) : -1;
		const snapshot = this.followers[index]?.snapshot();
		if (snapshot === undefined) {
			response.writeHead(404).end();
			return;
		}
		const encoded: EncodedSnapshot = {
			revision: snapshot.revision,
			entries: snapshot.entries.map(({ key, revision, value }) => ({
				key,
				revision,
				value: Buffer.from(value).toString('base64'),
			})),
		};
		response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(encoded));
	}
}

function decodeSnapshot(body: unknown): Snapshot | undefined {
	const encoded = body as Partial<EncodedSnapshot> | null | undefined;
	if (typeof encoded?.revision !== 'number' || !Array.isArray(encoded.entries)) {
		return undefined;
	}
	const entries = encoded.entries as readonly unknown[];
	if (!entries.every(isEncodedEntry)) {
		return undefined;
	}
	return {
		revision: encoded.revision,
		entries: entries.map(({ key, revision, value }) => ({ key, revision, value: Buffer.from(value, 'base64') })),
	};
}

function isEncodedEntry(value: unknown): value is EncodedSnapshot['entries'][number] {
	const entry = value as Partial<EncodedSnapshot['entries'][number]> | null | undefined;
	return typeof entry?.key === 'string' && typeof entry.revision === 'number' && typeof entry.value === 'string';
}
