export {CallerRouter} from './callerRouter.js';
export type {CallerRouterOptions} from './callerRouter.js';
export {handOverRecords} from './handOverRecords.js';
export {HEADER} from './headers.js';
export {LocalServer} from './localServer.js';
export type {
  LocalServerOptions,
  LocalTargetEndpoint,
  RequestCompletion,
  TargetRequestObserver,
} from './localServer.js';
export {Peers} from './peers.js';
export type {PeersOptions} from './peers.js';
export {sendProblem} from './sendProblem.js';
export {IdempotencyRangeSync} from './idempotencyRangeSync.js';
export {startCallerListener} from './startCallerListener.js';
export type {CallerListenerOptions, RequestRecord} from './startCallerListener.js';
export {startListener} from './startListener.js';
export type {Listener, ListenerOptions} from './startListener.js';
export {startPeerListener} from './startPeerListener.js';
export type {PeerListenerOptions} from './startPeerListener.js';
