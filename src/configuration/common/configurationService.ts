import type { Event } from '../../base/common/event.js';
import type { Configuration } from './model.js';

/** Provides the active configuration of this router. */
export interface IConfigurationService {
	/** The active configuration; undefined until one has been loaded. */
	readonly current: Configuration | undefined;
	/** Fires with each newer configuration; versions only increase. */
	readonly onDidChange: Event<Configuration>;
}
