export {HostedTarget} from './hostedTarget.js';
export {KeyLoad} from './keyLoad.js';
export type {KeyLoadOptions, KeyStretch} from './keyLoad.js';
export type {Heartbeat, HostedTargetOptions, KeyGrant, GrantedRange} from './hostedTarget.js';
