import type {SecureContextOptions} from 'node:tls';
import {Pool} from 'undici';
import type {Clock} from '@medlarlane/lifecycle';
import type {Session} from '@medlarlane/model';

export interface PeersOptions {
  /** Connections to one other daemon. */
  readonly connections: number;
  readonly clock: Clock;
  readonly tls?: () => SecureContextOptions;
}

const CONNECT_TIMEOUT_MS = 300;
const KEEP_ALIVE_MS = 30_000;
// A daemon that registers anew has no session for a moment; its running requests must not be cut.
const ABSENCE_MS = 500;

interface Peer {
  readonly pool: Pool;
  outstanding: number;
  loadHint: number;
  /** Since when no session names the address. */
  absentSinceMs: number | undefined;
}

/** Connections to other daemons, and how busy each is as far as this daemon can see. */
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

  /** Takes the load that a peer named in its answer. */
  recordLoad({peerAddress}: Session, loadHint: number): void {
    if (Number.isFinite(loadHint)) this.peer(peerAddress).loadHint = loadHint;
  }

  /** The larger of what the peer said and what this daemon has outstanding there. */
  load({peerAddress}: Session): number {
    const peer = this.peers.get(peerAddress);
    return peer ? Math.max(peer.outstanding, peer.loadHint) : 0;
  }

  /**
   * Cuts the connections to daemons that have had no session for a while. A request that waits for a
   * frozen daemon fails by it and can go to the next owner, if it may be repeated.
   */
  async retain(addresses: ReadonlySet<string>): Promise<void> {
    const nowMs = this.opts.clock.nowMs();
    const gone: Pool[] = [];
    for (const [address, peer] of this.peers) {
      if (addresses.has(address)) peer.absentSinceMs = undefined;
      else peer.absentSinceMs ??= nowMs;
      if (peer.absentSinceMs === undefined || nowMs - peer.absentSinceMs < ABSENCE_MS) continue;
      this.peers.delete(address);
      gone.push(peer.pool);
    }
    await Promise.all(gone.map((pool) => pool.destroy()));
  }

  /** Opens new connections with the present TLS material; running requests finish. */
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
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {...(tls ? tls() : {}), timeout: CONNECT_TIMEOUT_MS},
    });
    const peer: Peer = {pool, outstanding: 0, loadHint: 0, absentSinceMs: undefined};
    this.peers.set(address, peer);
    return peer;
  }
}
