import {MedlarlaneError} from '@medlarlane/errors';

/** Incremented with each change that older daemons cannot decode. */
export const PEER_PROTOCOL_VERSION = 3;

/**
 * Message type, the first field of each message. The second field is the exchange id, chosen by the
 * daemon that opened the connection; in `hello` it is the protocol version.
 */
export const PEER_OPERATION = {
  /** First message on a connection. */
  hello: 1,
  /** Offers a request, with or without the request itself. */
  offer: 2,
  /** A slot is reserved; the request itself may be sent. */
  admitted: 3,
  /** The request of an admitted offer. */
  request: 4,
  /** Result of the request. */
  result: 5,
  /** Cancels the exchange: the result is no longer needed. */
  cancel: 6,
  /** Requests a `pong`, to check that the connection is alive. */
  ping: 7,
  pong: 8,
  /** The next bytes of a large response, whose head was the result of the exchange. */
  chunk: 9,
  /** End of a large response, with a flag that is true only if all of its bytes were sent. */
  chunkEnd: 10,
  /** Number of bytes of a large response that the receiver has passed on. */
  chunkCredit: 11,
  /** Size in bytes of the body of the next offer with the same exchange id; sent if the body is large. */
  bodySize: 12,
} as const;

/** Bytes of a large response that may be sent before the first `chunkCredit`. */
export const CHUNK_WINDOW_BYTES = 65_536;
/** Maximum length of the bytes in a `chunk`, so that the message fits into one fragment. */
export const MAX_CHUNK_BYTES = 8_128;

export interface PeerMessage {
  readonly operation: number;
  readonly exchangeId: number;
  readonly fields: readonly unknown[];
}

/** @throws MedlarlaneError `REQUEST_INVALID` when `message` is not a message of this protocol. */
export function parsePeerMessage(message: unknown): PeerMessage {
  if (!Array.isArray(message))
    throw new MedlarlaneError('REQUEST_INVALID', 'Peer message is not an array');
  const [operation, exchange, ...fields] = message as unknown[];
  if (typeof operation !== 'number' || typeof exchange !== 'number') {
    throw new MedlarlaneError('REQUEST_INVALID', 'Peer message has no operation or no exchange id');
  }
  return {operation, exchangeId: exchange, fields};
}
