export {Kernel} from './kernel.js';
export type {ServiceFactory, ServiceName, ServiceRegistry} from './kernel.js';
