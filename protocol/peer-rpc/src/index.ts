export {MessageSocket} from './messageSocket.js';
export type {MessageSocketOptions} from './messageSocket.js';
export {OPERATION, PROTOCOL_VERSION, readPeerMessage} from './peerMessages.js';
export type {PeerMessage} from './peerMessages.js';
