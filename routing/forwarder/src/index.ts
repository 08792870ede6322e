export {CallerRouter} from './callerRouter.js';
export type {CallerRouterOptions} from './callerRouter.js';
export {handOver} from './handOver.js';
export {HEADER} from './headers.js';
export {LocalServer} from './localServer.js';
export type {
  LocalServerOptions,
  LocalTargetPort,
  RequestEnding,
  TargetOutcomeObserver,
} from './localServer.js';
export {Peers} from './peers.js';
export type {PeersOptions} from './peers.js';
export {answerProblem} from './problem.js';
export {RecordCoverage} from './recordCoverage.js';
export {startCallerListener} from './startCallerListener.js';
export type {CallerListenerOptions, RequestRecord} from './startCallerListener.js';
export {startListener} from './startListener.js';
export type {Listener, ListenerOptions} from './startListener.js';
export {startPeerListener} from './startPeerListener.js';
export type {PeerListenerOptions} from './startPeerListener.js';
