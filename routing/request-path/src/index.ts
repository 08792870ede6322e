export {EntryAdmission} from './entryAdmission.js';
export type {EntryAdmissionOptions, EntryRequest} from './entryAdmission.js';
export {createEntryHandler} from './entryHandler.js';
export type {EntryHandler, EntryHandlerOptions, EntryOutcome} from './entryHandler.js';
export {EventLoopLag} from './eventLoopLag.js';
export {SiteView} from './siteView.js';
export type {InstanceView} from './siteView.js';
export {AdmissionController} from './admissionController.js';
export type {AdmissionControllerOptions, CurrentTarget} from './admissionController.js';
export {startOfferListener} from './startOfferListener.js';
export {createPeerClient} from './createPeerClient.js';
export type {PeerClient} from './createPeerClient.js';
export {createTargetClient} from './createTargetClient.js';
export type {TargetClient, TargetClientOptions} from './createTargetClient.js';
export type {
  TargetLoad,
  Offer,
  RequestFrame,
  RunResult,
  TargetHealth,
  TargetResponse,
  TargetHeaderCodec,
  CallerHeaderCodec,
} from './messages.js';
export {MemoryBudget} from './memoryBudget.js';
export {UploadMemory} from './uploadMemory.js';
export type {UploadMemoryOptions, UploadReservation} from './uploadMemory.js';
export {ResponseStream} from './responseStream.js';
export type {StreamEnd, StreamReader} from './responseStream.js';
export {OfferPlan} from './offerPlan.js';
export type {PlannedOffer} from './offerPlan.js';
