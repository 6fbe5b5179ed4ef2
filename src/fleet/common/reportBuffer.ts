import type { EngineReport } from '../../engines/common/engineState.js';

/** What a keeper told of a server. */
export interface RelayedReport {
	/** Short key of the server. */
	readonly engine: number;
	readonly report: EngineReport;
	/** Monotonic milliseconds at which the keeper told it. */
	readonly reportedAt: number;
	/** Whether the keeper is in the failure domain of this router. */
	readonly isSameDomain: boolean;
}

/** Holds the reports that a relay is to tell on, each until it was told once or is replaced by a newer one. */
export class ReportBuffer {
	private readonly reports = new Map<number, RelayedReport>();

	private constructor() {}

	/** @returns a board without reports */
	public static create(): ReportBuffer {
		return new ReportBuffer();
	}

	/** @param told a report that was heard */
	public add(told: RelayedReport): void {
		const before = this.reports.get(told.engine);
		if (before === undefined || told.reportedAt > before.reportedAt) {
			this.reports.set(told.engine, told);
		}
	}

	/** @returns all reports, which are removed */
	public take(): readonly RelayedReport[] {
		const reports = [...this.reports.values()];
		this.reports.clear();
		return reports;
	}
}
