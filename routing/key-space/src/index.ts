export {extractKey} from './extractKey.js';
export type {KeySource} from './extractKey.js';
export {hashKey} from './hashKey.js';
export {evenRanges, rangeIndexAt, RangeTable} from './rangeTable.js';
export type {RangeChange} from './rangeTable.js';
