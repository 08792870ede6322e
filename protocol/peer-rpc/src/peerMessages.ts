import {MedlarlaneError} from '@medlarlane/errors';

/** Raised with each change that an older daemon cannot read. */
export const PEER_PROTOCOL_VERSION = 2;

/**
 * First field of each message. The second one is the number of the exchange, chosen by the daemon that
 * opened the connection, or the protocol version for `hello`.
 */
export const PEER_OPERATION = {
  /** First message of a connection. */
  hello: 1,
  /** Offers a request, either with the request itself or without. */
  offer: 2,
  /** A slot is reserved; the request itself may be sent. */
  admitted: 3,
  /** The request of an admitted offer. */
  request: 4,
  /** What became of the request. */
  result: 5,
  /** Nobody waits for the result any more. */
  cancel: 6,
  /** Asks for a sign of life. */
  ping: 7,
  pong: 8,
} as const;

export interface PeerMessage {
  readonly operation: number;
  readonly exchangeId: number;
  readonly fields: readonly unknown[];
}

/** @throws MedlarlaneError `REQUEST_INVALID` for anything but a message of this protocol. */
export function parsePeerMessage(message: unknown): PeerMessage {
  if (!Array.isArray(message)) throw new MedlarlaneError('REQUEST_INVALID', 'Not a message');
  const [operation, exchange, ...fields] = message as unknown[];
  if (typeof operation !== 'number' || typeof exchange !== 'number') {
    throw new MedlarlaneError('REQUEST_INVALID', 'Message without operation or exchange');
  }
  return {operation, exchangeId: exchange, fields};
}
