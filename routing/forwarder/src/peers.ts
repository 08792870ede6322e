import type {SecureContextOptions} from 'node:tls';
import {Pool} from 'undici';
import {createStrictClient} from '@medlarlane/http-client';
import type {Clock} from '@medlarlane/lifecycle';
import type {Session} from '@medlarlane/model';

export interface PeersOptions {
  /** Maximum number of connections to each other daemon. */
  readonly connections: number;
  readonly clock: Clock;
  readonly tls?: () => SecureContextOptions;
}

const CONNECT_TIMEOUT_MS = 300;
const KEEP_ALIVE_MS = 30_000;
// A daemon that registers again has no session for a moment; its running requests must not be aborted.
const ABSENCE_TIMEOUT_MS = 500;

interface Peer {
  readonly pool: Pool;
  outstanding: number;
  loadHint: number;
  /** Since when no session has this address. */
  absentSinceMs: number | undefined;
}

/** Connections to other daemons and an estimate of their load. */
export class Peers {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly opts: PeersOptions) {}

  pool({peerAddress}: Session): Pool {
    return this.peer(peerAddress).pool;
  }

  /** Counts a request as outstanding at a peer until the returned function is called. */
  trackRequest({peerAddress}: Session): () => void {
    const peer = this.peer(peerAddress);
    peer.outstanding += 1;
    return () => {
      peer.outstanding -= 1;
    };
  }

  /** Records the load that a peer reported in a response. */
  recordLoad({peerAddress}: Session, loadHint: number): void {
    if (Number.isFinite(loadHint)) this.peer(peerAddress).loadHint = loadHint;
  }

  /** Returns the larger of the load that the peer reported and the requests outstanding there. */
  load({peerAddress}: Session): number {
    const peer = this.peers.get(peerAddress);
    return peer ? Math.max(peer.outstanding, peer.loadHint) : 0;
  }

  /**
   * Closes the connections to daemons that have had no session for a while. A request that waits for a
   * frozen daemon fails by this and can be retried at the next owner if it is repeatable.
   */
  async retain(addresses: ReadonlySet<string>): Promise<void> {
    const nowMs = this.opts.clock.nowMs();
    const absentPools: Pool[] = [];
    for (const [address, peer] of this.peers) {
      if (addresses.has(address)) peer.absentSinceMs = undefined;
      else peer.absentSinceMs ??= nowMs;
      if (peer.absentSinceMs === undefined || nowMs - peer.absentSinceMs < ABSENCE_TIMEOUT_MS)
        continue;
      this.peers.delete(address);
      absentPools.push(peer.pool);
    }
    await Promise.all(absentPools.map((pool) => pool.destroy()));
  }

  /** Replaces all connections, so that new ones use the current TLS files; running requests finish. */
  async reconnect(): Promise<void> {
    const pools = [...this.peers.values()].map(({pool}) => pool.close());
    this.peers.clear();
    await Promise.all(pools);
  }

  async close(): Promise<void> {
    const pools = [...this.peers.values()].map(({pool}) => pool.destroy());
    this.peers.clear();
    await Promise.all(pools);
  }

  private peer(address: string): Peer {
    const existing = this.peers.get(address);
    if (existing) return existing;
    const {tls, connections} = this.opts;
    const pool = new Pool(`${tls ? 'https' : 'http'}://${address}`, {
      connections,
      pipelining: 1,
      factory: createStrictClient,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {...(tls ? tls() : {}), timeout: CONNECT_TIMEOUT_MS},
    });
    const peer: Peer = {pool, outstanding: 0, loadHint: 0, absentSinceMs: undefined};
    this.peers.set(address, peer);
    return peer;
  }
}
