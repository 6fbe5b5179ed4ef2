/** A measured point: the varied quantity and the measured cost. */
export interface SlopePoint {
	readonly x: number;
	readonly y: number;
}

/** Measured points and the straight line fitted to them. */
export interface Slope {
	readonly name: string;
	readonly xLabel: string;
	readonly yLabel: string;
	readonly points: readonly SlopePoint[];
	readonly fit: LineFit;
}

/** Least-squares line y = intercept + slope · x. */
export interface LineFit {
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination (r²): the fraction of the variance that the line explains; 1 is a perfect fit. */
	readonly determination: number;
}

/**
 * Fits a straight line by least squares.
 *
 * @param points at least two points with different x
 * @returns the fitted line
 */
export function fitLine(points: readonly SlopePoint[]): LineFit {
	const count = points.length;
	const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
	const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
	let covariance = 0;
	let varianceX = 0;
	let varianceY = 0;
	for (const { x, y } of points) {
		covariance += (x - meanX) * (y - meanY);
		varianceX += (x - meanX) ** 2;
		varianceY += (y - meanY) ** 2;
	}
	const slope = covariance / varianceX;
	const determination = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
	return { slope, intercept: meanY - slope * meanX, determination };
}

/**
 * Fits a line to measured points and labels it.
 *
 * @param name short name, also the base name of the plot file
 * @param labels axis labels with units
 * @param points measured points
 * @returns the points with the fitted line
 */
export function fitSlope(
	name: string,
	labels: { readonly x: string; readonly y: string },
	points: readonly SlopePoint[],
): Slope {
	return { name, xLabel: labels.x, yLabel: labels.y, points, fit: fitLine(points) };
}
