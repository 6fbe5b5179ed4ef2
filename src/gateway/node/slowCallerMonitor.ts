import type { IDisposable } from '../../base/common/lifecycle.js';
import { afterNextPoll } from '../../base/node/eventLoop.js';
import type { IDecisionLog } from '../../base/node/structuredLog.js';
import type { ResponseBuffering } from '../common/responseBuffering.js';
import type { GatewayMetrics } from './gatewayMetrics.js';

/** A fraction of the time after which a caller counts as one that does not read. */
const CHECK_INTERVAL_MS = 500;

/** Disconnects callers that do not read their responses, and reports what is held for slow callers. */
export class SlowCallerMonitor implements IDisposable {
	private readonly timer = setInterval(() => afterNextPoll(() => this.disconnectStalled()), CHECK_INTERVAL_MS).unref();
	private disconnected = 0;

	private constructor(
		private readonly buffering: ResponseBuffering,
		private readonly log: IDecisionLog,
		metrics: GatewayMetrics,
	) {
		metrics.addGauge(
			'masticloom_router_slow_responses',
			'Responses whose callers read more slowly than they come.',
			() => {
				return buffering.slowResponses;
			},
		);
		metrics.addGauge('masticloom_router_held_response_bytes', 'Bytes reserved for responses of slow callers.', () => {
			return buffering.reservedBytes;
		});
		metrics.addGauge(
			'masticloom_router_responses_read_on',
			'Decisions to read on for a slow caller since the start.',
			() => {
				return buffering.readOnDecisions;
			},
		);
		metrics.addGauge('masticloom_router_responses_paused', 'Decisions to pause a server for a slow caller.', () => {
			return buffering.pauseDecisions;
		});
		metrics.addGauge('masticloom_router_slow_callers_disconnected', 'Callers disconnected for not reading.', () => {
			return this.disconnected;
		});
	}

	/**
	 * Starts to check at an interval.
	 *
	 * @param buffering selects the callers to disconnect
	 * @param log for disconnected callers
	 * @param metrics to which gauges are added
	 * @returns the running monitor
	 */
	public static start(buffering: ResponseBuffering, log: IDecisionLog, metrics: GatewayMetrics): SlowCallerMonitor {
		return new SlowCallerMonitor(buffering, log, metrics);
	}

	public dispose(): void {
		clearInterval(this.timer);
	}

	private disconnectStalled(): void {
		for (const { caller, reservedBytes, stalledMs } of this.buffering.selectStalled()) {
			this.disconnected++;
			this.log.write('slow-caller-disconnected', {
				id: caller.requestId,
				reservedBytes,
				stalledMs: Math.round(stalledMs),
				totalReservedBytes: this.buffering.reservedBytes,
			});
			caller.disconnect();
		}
	}
}
