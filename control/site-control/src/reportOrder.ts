import type {ReportRequest} from './reports.js';

interface ReportingProcess {
  /** Identity of the daemon process whose reports are accepted. */
  readonly processId: string;
  /** Number of its newest accepted report. */
  sequence: number;
  /** Earlier processes of the daemon; reports of them are outdated. */
  readonly formerProcessIds: readonly string[];
}

type ReportIdentity = Pick<ReportRequest, 'forwardAddress' | 'processId' | 'sequence'>;

/** A report reaches the leader within seconds, in which a daemon cannot be restarted more often. */
const MAX_FORMER_PROCESSES = 8;

/**
 * Order of the reports of each daemon. Reports are sent on several connections and may overtake each other; an
 * outdated one must not replace what a newer one has stated.
 */
export class ReportOrder {
  private readonly processes = new Map<string, ReportingProcess>();

  /**
   * Records a report. Returns whether it is newer than all recorded ones of its daemon. Reports without a
   * number, which earlier versions send, always count as newer.
   */
  record({forwardAddress, processId, sequence}: ReportIdentity): boolean {
    if (processId === undefined || sequence === undefined) return true;
    const known = this.processes.get(forwardAddress);
    if (known?.processId === processId) {
      if (sequence <= known.sequence) return false;
      known.sequence = sequence;
      return true;
    }
    if (known?.formerProcessIds.includes(processId)) return false;
    const formerProcessIds = known ? [...known.formerProcessIds, known.processId] : [];
    this.processes.set(forwardAddress, {
      processId,
      sequence,
      formerProcessIds: formerProcessIds.slice(-MAX_FORMER_PROCESSES),
    });
    return true;
  }

  remove(forwardAddress: string): void {
    this.processes.delete(forwardAddress);
  }
}
