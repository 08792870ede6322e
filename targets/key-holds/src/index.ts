export {HostedTarget} from './hostedTarget.js';
export type {Heartbeat, HostedTargetOptions, KeyGrant, GrantedRange} from './hostedTarget.js';
