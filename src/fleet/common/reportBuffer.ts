import type { EngineReport } from '../../engines/common/engineState.js';

/** A report of a queue owner about a server, which a relay forwards. */
export interface RelayedReport {
	/** Short key of the server. */
	readonly engine: number;
	readonly report: EngineReport;
	/** Monotonic milliseconds at which the queue owner sent it. */
	readonly reportedAt: number;
	/** Whether the router that sent the report to this one is in the same failure domain. */
	readonly isSameDomain: boolean;
}

/** Buffers the reports that a relay has to forward, each until it is sent once or replaced by a newer one. */
export class ReportBuffer {
	private readonly reports = new Map<number, RelayedReport>();

	private constructor() {}

	/** @returns an empty buffer */
	public static create(): ReportBuffer {
		return new ReportBuffer();
	}

	/** @param received the report, which is ignored unless it is newer than the buffered one about the same server */
	public add(received: RelayedReport): void {
		const buffered = this.reports.get(received.engine);
		if (buffered === undefined || received.reportedAt > buffered.reportedAt) {
			this.reports.set(received.engine, received);
		}
	}

	/** @returns all buffered reports, which are removed */
	public take(): readonly RelayedReport[] {
		const reports = [...this.reports.values()];
		this.reports.clear();
		return reports;
	}
}
