export {createRpcClient} from './createRpcClient.js';
export type {RpcCallOptions, RpcClient, RpcClientOptions} from './createRpcClient.js';
export {HOP_BY_HOP_HEADERS} from './hopByHopHeaders.js';
export {listen} from './listen.js';
export type {ListenOptions} from './listen.js';
export {readMessageBody} from './readMessageBody.js';
export {splitAddress} from './splitAddress.js';
export {startRpcServer} from './startRpcServer.js';
export type {RpcHandler, RpcServer, RpcServerOptions} from './startRpcServer.js';
