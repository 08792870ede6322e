export {assignOrphans} from './assignOrphans.js';
export type {OrphanSession} from './assignOrphans.js';
export {PLACEMENT_LIMITS} from './limits.js';
export type {PlacementLimits} from './limits.js';
export {LoadAggregator} from './loadAggregator.js';
export type {LoadAggregatorOptions, LoadReport} from './loadAggregator.js';
export type {HotKey, PlacementInput, PlacementSession} from './placementInput.js';
export {planMoves} from './planMoves.js';
export type {PlanOptions} from './planMoves.js';
