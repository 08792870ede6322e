export {MessageSocket} from './messageSocket.js';
export type {MessageSocketOptions} from './messageSocket.js';
export {
  CHUNK_WINDOW_BYTES,
  MAX_CHUNK_BYTES,
  parsePeerMessage,
  PEER_OPERATION,
  PEER_PROTOCOL_VERSION,
} from './peerMessages.js';
export type {PeerMessage} from './peerMessages.js';
