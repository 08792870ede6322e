export {loadTlsMaterial} from './loadTlsMaterial.js';
export type {LoadTlsOptions, TlsFiles, TlsMaterial} from './loadTlsMaterial.js';
export {clientTlsOptions, serverTlsOptions} from './tlsOptions.js';
export type {ClientTlsOptions, ServerTlsOptions} from './tlsOptions.js';
export {watchTlsMaterial} from './watchTlsMaterial.js';
export type {SecureServer, TlsWatcher, WatchTlsOptions} from './watchTlsMaterial.js';
