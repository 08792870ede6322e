import type {ConsensusRequest, ConsensusResponse, ConsensusTransport} from '@medlarlane/consensus';
import type {Clock} from '@medlarlane/lifecycle';

type Handler = (request: ConsensusRequest) => Promise<ConsensusResponse>;

/** In-memory network between replicas that can partition, delay and drop messages. */
export class MemoryNetwork {
  private readonly handlers = new Map<string, Handler>();
  private readonly cuts = new Set<string>();
  /** Probability that a request or a response is lost. */
  lossRate = 0;
  delayMs: (from: string, to: string) => number = () => 0;
  /** Called for every request; returning false drops the request. */
  filter: (from: string, to: string, request: ConsensusRequest) => boolean = () => true;

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  attach(replicaId: string, handler: Handler): void {
    this.handlers.set(replicaId, handler);
  }

  detach(replicaId: string): void {
    this.handlers.delete(replicaId);
  }

  cutOneWay(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  cut(one: string, other: string): void {
    this.cutOneWay(one, other);
    this.cutOneWay(other, one);
  }

  /** Partitions a replica from all others. */
  isolate(replicaId: string): void {
    this.cuts.add(replicaId);
  }

  restoreLinks(): void {
    this.cuts.clear();
  }

  transportOf(from: string): ConsensusTransport {
    return {
      call: async (to, _address, request) => {
        // Copies, so that replicas share no memory.
        const sent = structuredClone(request);
        await this.transmit(from, to);
        if (!this.filter(from, to, sent)) throw new Error('Message lost');
        const handler = this.handlers.get(to);
        if (!handler) throw new Error('Connection refused');
        const response = structuredClone(await handler(sent));
        await this.transmit(to, from);
        return response;
      },
    };
  }

  private async transmit(from: string, to: string): Promise<void> {
    const delayMs = this.delayMs(from, to);
    if (delayMs > 0) await this.clock.sleep(delayMs);
    const cut = this.cuts.has(from) || this.cuts.has(to) || this.cuts.has(`${from}>${to}`);
    if (cut || this.random() < this.lossRate) throw new Error('Message lost');
  }
}
