export {HostedTarget} from './hostedTarget.js';
export {KeyLoad} from './keyLoad.js';
export type {KeyLoadOptions} from './keyLoad.js';
export type {KeyStretch} from './keyStretch.js';
export {CalledGrants} from './calledGrants.js';
export type {
  CalledGrantsOptions,
  FencedStretch,
  GrantCalls,
  GrantOrder,
  GrantOutcome,
  GrantPlan,
} from './calledGrants.js';
export {createGrantClient} from './createGrantClient.js';
export type {GrantClient, GrantClientOptions, GrantWire} from './createGrantClient.js';
export type {Heartbeat, HostedTargetOptions, KeyGrant, GrantedRange} from './hostedTarget.js';
