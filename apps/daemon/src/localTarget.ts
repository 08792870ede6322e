import {Pool} from 'undici';
import {AdmissionQueue, LearnedLimit} from '@medlarlane/admission';
import type {LocalTarget} from '@medlarlane/announce';
import type {LocalTargetPort} from '@medlarlane/forwarder';
import type {ServiceDocument} from '@medlarlane/model';

// Below the 5 s after which Node.js servers close idle connections, so that a request is not sent on a
// connection that the target is closing.
const KEEP_ALIVE_MS = 4000;

/** The connections to the announced target and the queue in front of it. */
export class OpenTarget implements LocalTargetPort {
  readonly address: string;
  readonly incarnation: string;
  readonly service: string;
  readonly dispatcher: Pool;
  readonly admission: AdmissionQueue;

  constructor(target: LocalTarget, document: ServiceDocument) {
    const {slots, connections, coldStartMs, connectTimeoutMs} = document.targets;
    this.address = target.address;
    this.incarnation = target.incarnation;
    this.service = target.service;
    this.dispatcher = new Pool(`http://${target.address}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: connectTimeoutMs},
    });
    this.admission = new AdmissionQueue({
      limit: new LearnedLimit({slots, connections, coldStartMs}),
    });
  }

  /** Cuts what still runs. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }
}
