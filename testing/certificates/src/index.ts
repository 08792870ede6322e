export {issueTestCertificates} from './issueTestCertificates.js';
export type {IssuedFiles, TestCertificateOptions} from './issueTestCertificates.js';
