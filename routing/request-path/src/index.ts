export {createEntryHandler} from './entryHandler.js';
export type {EntryHandler, EntryOptions, EntryOutcome} from './entryHandler.js';
export {LoopLag} from './loopLag.js';
export {SiteView} from './siteView.js';
export type {InstanceView} from './siteView.js';
export {TargetGate} from './targetGate.js';
export type {GateOptions, GateTarget} from './targetGate.js';
export {startGateListener} from './startGateListener.js';
export {createPeerClient} from './createPeerClient.js';
export type {PeerClient} from './createPeerClient.js';
export {createTargetClient} from './createTargetClient.js';
export type {TargetClient} from './createTargetClient.js';
export type {
  GateLoad,
  Offer,
  RequestFrame,
  RunResult,
  TargetAnswer,
  TargetWire,
  CallerWire,
} from './messages.js';
export {OfferPlan} from './offerPlan.js';
export type {NextOffer} from './offerPlan.js';
