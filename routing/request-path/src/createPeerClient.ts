import http from 'node:http';
import {decode, encode} from '@msgpack/msgpack';
import {readWhole} from '@medlarlane/rpc';
import type {Offer, RequestFrame, RunResult} from './messages.js';
import {OFFER_HEADER} from './peerProtocol.js';

export interface PeerClient {
  /** Offers a request to the daemon at `address` and, once admitted, has it run there. */
  run(opts: {
    address: string;
    offer: Offer;
    frame: RequestFrame;
    signal: AbortSignal;
  }): Promise<RunResult>;
  close(): void;
}

/**
 * A daemon that is reachable confirms an offer within a round trip; giving up then is harmless,
 * because the request itself has not been sent.
 */
const OFFER_TIMEOUT_MS = 250;
/** The owning daemon ends a request at its deadline; this covers the way back. */
const ANSWER_GRACE_MS = 60;
/** Requests of one daemon that may be on their way to another one. */
const MAX_CONNECTIONS_PER_PEER = 256;
/** The largest answer that a target may give, with its frame. */
const MAX_RESULT_BYTES = 65 * 1024 * 1024;
const MAX_IDLE_MS = 20_000;

/** Creates the client for requests to other daemons. */
export function createPeerClient(): PeerClient {
  const agent = new http.Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxSockets: MAX_CONNECTIONS_PER_PEER,
    timeout: MAX_IDLE_MS,
  });
  return {
    run: (run) => runAtPeer(agent, run),
    close: () => agent.destroy(),
  };
}

function runAtPeer(
  agent: http.Agent,
  {address, offer, frame, signal}: Parameters<PeerClient['run']>[0],
): Promise<RunResult> {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const request = http.request({
      agent,
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      method: 'POST',
      path: '/run',
      headers: {
        [OFFER_HEADER]: JSON.stringify(offer),
        expect: '100-continue',
        'transfer-encoding': 'chunked',
      },
    });
    const endsAtMs = performance.now() + offer.deadlineLeftMs + ANSWER_GRACE_MS;
    let sent = false;
    const settle = (result: RunResult): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    };
    const giveUp = (): void => {
      settle(sent ? {kind: 'lost', code: 'PEER_FAILED'} : {kind: 'refused', code: 'PEER_FAILED'});
      request.destroy();
    };
    const onAbort = (): void => {
      settle(sent ? {kind: 'lost', code: 'CANCELLED'} : {kind: 'refused', code: 'CANCELLED'});
      request.destroy();
    };
    let timer = setTimeout(giveUp, Math.min(OFFER_TIMEOUT_MS, offer.deadlineLeftMs));
    const waitUntilDeadline = (): void => {
      clearTimeout(timer);
      timer = setTimeout(giveUp, endsAtMs - performance.now());
    };
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) return onAbort();
    request.on('information', waitUntilDeadline);
    request.on('continue', () => {
      waitUntilDeadline();
      if (signal.aborted) return;
      sent = true;
      request.end(encode(frame));
    });
    request.on('error', giveUp);
    request.on('response', (response) => {
      // Without the confirmation the request stays unsent; its empty end frees the connection.
      if (!sent) request.end();
      readResult(response).then(settle, giveUp);
    });
    request.flushHeaders();
  });
}

async function readResult(response: http.IncomingMessage): Promise<RunResult> {
  return decode(await readWhole(response, MAX_RESULT_BYTES)) as RunResult;
}
