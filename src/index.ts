/** The operators' library: define a deployment and print it for `masticloom apply`. */
export type { ConfigurationFault } from './configuration/common/configurationFault.js';
export {
	type AccountOptions,
	type BackendServerOptions,
	DeploymentBuilder,
	idempotent,
	type ModelServiceOptions,
	type PoolOptions,
	type PoolReference,
	runsOnce,
	type ServiceOptions,
	type ServiceReference,
} from './configuration/common/deploymentBuilder.js';
export type { ConfigurationContent, Operation } from './configuration/common/model.js';
export { digestOfToken, printDeployment } from './configuration/node/printDeployment.js';
