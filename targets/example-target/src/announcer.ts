import {Agent, request} from 'undici';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';

const ANNOUNCE_INTERVAL_MS = 1000;
const ANNOUNCE_TIMEOUT_MS = 900;

export interface AnnouncerOptions {
  /** `<ip>:<port>` of the daemon's target listener. */
  readonly daemon: string;
  readonly announcement: {service: string; port: number; incarnation: string};
  readonly clock: Clock;
  readonly logger: Logger;
  /** No announcement is sent while this returns true. */
  readonly isFrozen: () => boolean;
}

/** Announces a target periodically until it is withdrawn. */
export class Announcer {
  private readonly abort = new AbortController();
  private readonly agent = new Agent({connections: 1});
  private readonly running: Promise<void>;

  constructor(private readonly opts: AnnouncerOptions) {
    this.running = this.announcePeriodically().catch(() => undefined);
  }

  /** Stops announcing without notifying the daemon. */
  async stop(): Promise<void> {
    this.abort.abort();
    await this.running;
    await this.agent.destroy();
  }

  /** Withdraws the target. The daemon responds when it sends no more requests. */
  async withdraw(timeoutMs: number): Promise<void> {
    this.abort.abort();
    await this.running;
    try {
      await this.send('DELETE', timeoutMs);
    } catch (error) {
      this.opts.logger.warn({err: error}, 'Withdrawal was not confirmed');
    }
    await this.agent.destroy();
  }

  private async announcePeriodically(): Promise<void> {
    const {clock, logger} = this.opts;
    let isFailing = false;
    while (!this.abort.signal.aborted) {
      if (!this.opts.isFrozen()) {
        const problem = await this.announce();
        if (problem && !isFailing) logger.warn({problem}, 'Announcement failed');
        if (!problem && isFailing) logger.info('Announcement accepted again');
        isFailing = problem !== undefined;
      }
      await clock.sleep(ANNOUNCE_INTERVAL_MS, {signal: this.abort.signal});
    }
  }

  private async announce(): Promise<string | undefined> {
    try {
      const status = await this.send('PUT', ANNOUNCE_TIMEOUT_MS);
      return status < 300 ? undefined : `status ${status}`;
    } catch (error) {
      return String(error);
    }
  }

  private async send(method: 'PUT' | 'DELETE', timeoutMs: number): Promise<number> {
    const {statusCode, body} = await request(`http://${this.opts.daemon}/v1/target`, {
      method,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(this.opts.announcement),
      dispatcher: this.agent,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    await body.dump();
    return statusCode;
  }
}
