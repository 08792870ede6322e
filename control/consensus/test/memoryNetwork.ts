import {setTimeout as delay} from 'node:timers/promises';
import type {ConsensusRequest, ConsensusResponse, ConsensusTransport} from '@medlarlane/consensus';

type Handler = (request: ConsensusRequest) => Promise<ConsensusResponse>;

/** Links between replicas in one process that can be cut, delayed and made lossy. */
export class MemoryNetwork {
  private readonly handlers = new Map<string, Handler>();
  private readonly cuts = new Set<string>();
  private readonly frozen = new Map<string, Promise<void>>();
  /** Probability that a request or a response is lost. */
  lossRate = 0;
  /** Delay of one message in milliseconds of real time. */
  delayMs: () => number = () => 0;
  /** Sees every request before it is delivered; returning false drops it. */
  filter: (from: string, to: string, request: ConsensusRequest) => boolean = () => true;

  constructor(private readonly random: () => number = Math.random) {}

  attach(replicaId: string, handler: Handler): void {
    this.handlers.set(replicaId, handler);
  }

  detach(replicaId: string): void {
    this.handlers.delete(replicaId);
  }

  /** Cuts messages from `from` to `to` only. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts a replica from all others in both directions. */
  isolate(replicaId: string): void {
    this.cuts.add(replicaId);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Holds back all messages from and to a replica until the returned function is called. */
  freeze(replicaId: string): () => void {
    let resume = (): void => undefined;
    const frozen = new Promise<void>((resolve) => (resume = resolve));
    this.frozen.set(replicaId, frozen);
    return () => {
      this.frozen.delete(replicaId);
      resume();
    };
  }

  transportOf(from: string): ConsensusTransport {
    return {
      call: async (to, _address, request, signal) => {
        // A copy, so that replicas share no memory.
        const sent = structuredClone(request);
        await this.deliver(from, to);
        if (!this.filter(from, to, sent)) throw new Error('Message lost');
        const handler = this.handlers.get(to);
        if (!handler) throw new Error('Connection refused');
        const response = structuredClone(await handler(sent));
        await this.deliver(to, from);
        signal.throwIfAborted();
        return response;
      },
    };
  }

  private async deliver(from: string, to: string): Promise<void> {
    const delayMs = this.delayMs();
    if (delayMs > 0) await delay(delayMs);
    await Promise.all([this.frozen.get(from), this.frozen.get(to)]);
    const cut = this.cuts.has(from) || this.cuts.has(to) || this.cuts.has(`${from}>${to}`);
    if (cut || this.random() < this.lossRate) throw new Error('Message lost');
  }
}
