export {parseFault} from './faults.js';
export type {Fault} from './faults.js';
export {GrantChecker, grantSchema} from './grantChecker.js';
export type {Grant} from './grantChecker.js';
export {startExampleTarget} from './startExampleTarget.js';
export type {ExampleTarget, ExampleTargetOptions, TargetStats} from './startExampleTarget.js';
