export {eventually} from './eventually.js';
export {issueTestCertificates} from './issueTestCertificates.js';
export type {IssuedFiles, TestCertificateOptions} from './issueTestCertificates.js';
export {startProcess} from './startProcess.js';
export type {StartedProcess} from './startProcess.js';
export {startTargetProcess} from './startTargetProcess.js';
export type {StartedTarget} from './startTargetProcess.js';
