export {LeaseTable} from './leaseTable.js';
export type {LeaseState, LeaseTableOptions} from './leaseTable.js';
