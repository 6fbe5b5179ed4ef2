import type { Event } from '../../base/common/event.js';
import type { Configuration } from './model.js';

/** The configuration in force on this router. */
export interface IConfigurationService {
	/** Undefined until the first one was read. */
	readonly current: Configuration | undefined;
	/** Fires with each newer configuration; versions only go up. */
	readonly onDidChange: Event<Configuration>;
}
