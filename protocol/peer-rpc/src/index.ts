export {MessageSocket} from './messageSocket.js';
export type {MessageSocketOptions} from './messageSocket.js';
export {parsePeerMessage, PEER_OPERATION, PEER_PROTOCOL_VERSION} from './peerMessages.js';
export type {PeerMessage} from './peerMessages.js';
