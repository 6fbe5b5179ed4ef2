import type { EngineReport } from '../../engines/common/engineState.js';

/** What a keeper told of a server. */
export interface ToldReport {
	/** Short key of the server. */
	readonly engine: number;
	readonly report: EngineReport;
	/** Monotonic milliseconds at which the keeper told it. */
	readonly toldAt: number;
	/** Whether the keeper is in the failure domain of this router. */
	readonly isNear: boolean;
}

/** Holds the reports that a relay is to tell on, each until it was told once or is replaced by a newer one. */
export class ReportBoard {
	private readonly reports = new Map<number, ToldReport>();

	private constructor() {}

	/** @returns a board without reports */
	public static create(): ReportBoard {
		return new ReportBoard();
	}

	/** @param told a report that was heard */
	public add(told: ToldReport): void {
		const before = this.reports.get(told.engine);
		if (before === undefined || told.toldAt > before.toldAt) {
			this.reports.set(told.engine, told);
		}
	}

	/** @returns all reports, which are removed */
	public take(): readonly ToldReport[] {
		const reports = [...this.reports.values()];
		this.reports.clear();
		return reports;
	}
}
