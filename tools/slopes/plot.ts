import * as vega from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { Slope } from './slope.js';

const WIDTH = 420;
const HEIGHT = 260;

/**
 * Plots the points of a slope and the fitted line.
 *
 * @param slope measured points and fitted line
 * @returns an SVG document
 */
export async function plotSlope(slope: Slope): Promise<string> {
	const { fit, points } = slope;
	const line = points.map(({ x }) => ({ x, y: fit.intercept + fit.slope * x }));
	const x = { field: 'x', type: 'quantitative', title: slope.xLabel } as const;
	const y = { field: 'y', type: 'quantitative', title: slope.yLabel } as const;
	const specification: TopLevelSpec = {
		width: WIDTH,
		height: HEIGHT,
		title: slope.name,
		layer: [
			{ data: { values: line }, mark: { type: 'line', color: '#888888' }, encoding: { x, y } },
			{ data: { values: [...points] }, mark: { type: 'point', filled: true }, encoding: { x, y } },
		],
	};
	const view = new vega.View(vega.parse(compile(specification).spec), { renderer: 'none' });
	return view.toSVG();
}
