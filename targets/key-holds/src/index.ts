export type {ColdBound, StatedLoad, TargetNotice} from './targetNotice.js';
export {HostedTarget} from './hostedTarget.js';
export {KeyLoad} from './keyLoad.js';
export type {KeyLoadOptions} from './keyLoad.js';
export type {KeyRange} from './keyRange.js';
export {PushedGrants} from './calledGrants.js';
export type {
  PushedGrantsOptions,
  FencedKeyRange,
  GrantApi,
  KeyGrantRequest,
  GrantOutcome,
  GrantPlan,
} from './calledGrants.js';
export {createGrantClient} from './createGrantClient.js';
export type {GrantClient, GrantClientOptions, GrantCodec} from './createGrantClient.js';
export type {
  Heartbeat,
  HeartbeatResult,
  HostedTargetOptions,
  KeyGrant,
  GrantedRange,
} from './hostedTarget.js';
