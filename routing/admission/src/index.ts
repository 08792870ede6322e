export {AdmissionQueue} from './admissionQueue.js';
export type {AdmissionQueueOptions, AdmissionRequest, Permit} from './admissionQueue.js';
export {AdaptiveLimit} from './adaptiveLimit.js';
export type {AdmissionOutcome, Completion, AdaptiveLimitOptions} from './adaptiveLimit.js';
export {AGEING_RATE, QUEUE_ORDERS} from './queueOrder.js';
export type {QueuedRequest, QueueOrder} from './queueOrder.js';
export {SlotQueue} from './slotQueue.js';
export type {SlotPermit, SlotQueueOptions, SlotRequest} from './slotQueue.js';
