export {MessageSocket} from './messageSocket.js';
export type {MessageSocketOptions} from './messageSocket.js';
export {PEER_OPERATION, PEER_PROTOCOL_VERSION, parsePeerMessage} from './peerMessages.js';
export type {PeerMessage} from './peerMessages.js';
