import type {SecureContextOptions} from 'node:tls';
import {buildConnector} from 'undici';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {BackgroundTasks, systemClock} from '@medlarlane/lifecycle';
import type {Clock} from '@medlarlane/lifecycle';
import {createComponentLogger, silentLogger} from '@medlarlane/logger';
import type {Logger} from '@medlarlane/logger';
import {loadTlsMaterial} from './loadTlsMaterial.js';
import type {TlsFiles, TlsMaterial} from './loadTlsMaterial.js';
import {clientTlsOptions, serverTlsOptions} from './tlsOptions.js';
import type {ClientTlsOptions, ServerTlsOptions} from './tlsOptions.js';

// Files are polled instead of watched, because file system notifications are lost when a folder is
// replaced through a symbolic link.
const POLL_INTERVAL_MS = 2000;

/** A TLS server of node:tls, node:https or node:http2. */
export interface SecureServer {
  setSecureContext(options: SecureContextOptions): void;
}

export interface WatchTlsOptions {
  readonly clock?: Clock;
  readonly logger?: Logger;
}

export interface TlsWatcher {
  /** The newest material that passed validation. */
  readonly material: TlsMaterial;
  serverTlsOptions(): ServerTlsOptions;
  /** Options for the next client connection; must be read again for each connection. */
  clientTlsOptions(): ClientTlsOptions;
  /** Connector for the `connect` option of undici; each new connection uses the newest material. */
  clientConnector(opts?: {timeoutMs?: number}): buildConnector.connector;
  /** Sets each new material on the server; its open connections are kept. */
  attachServer(server: SecureServer): void;
  onChange(listener: (material: TlsMaterial) => void): () => void;
  /** Reads the files immediately; returns whether new material is in use. */
  reload(): Promise<boolean>;
  close(): Promise<void>;
}

/**
 * Loads the files and reloads them when they change. Invalid new files are logged once and the
 * previous material stays in use.
 * @throws MedlarlaneError `SETTINGS_INVALID` when the files are invalid at the start.
 */
export async function watchTlsMaterial(
  files: TlsFiles,
  opts: WatchTlsOptions = {},
): Promise<TlsWatcher> {
  return new PollingTlsWatcher(files, await loadTlsMaterial(files, opts), opts);
}

class PollingTlsWatcher implements TlsWatcher {
  private readonly listeners = new Set<(material: TlsMaterial) => void>();
  private readonly tasks: BackgroundTasks;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private lastLoggedProblem: string | undefined;

  constructor(
    private readonly files: TlsFiles,
    public material: TlsMaterial,
    opts: WatchTlsOptions,
  ) {
    this.clock = opts.clock ?? systemClock;
    this.logger = createComponentLogger('tls', opts.logger ?? silentLogger);
    this.tasks = new BackgroundTasks({
      onFailure: (task, err) => this.logger.error({task, err}, 'Task failed'),
    });
    this.tasks.run('poll', async (signal) => {
      for (;;) {
        await this.clock.sleep(POLL_INTERVAL_MS, {signal});
        await this.reload();
      }
    });
  }

  serverTlsOptions(): ServerTlsOptions {
    return serverTlsOptions(this.material);
  }

  clientTlsOptions(): ClientTlsOptions {
    return clientTlsOptions(this.material);
  }

  clientConnector(opts: {timeoutMs?: number} = {}): buildConnector.connector {
    let digest: string | undefined;
    let connector: buildConnector.connector | undefined;
    return (target, callback) => {
      if (!connector || digest !== this.material.digest) {
        digest = this.material.digest;
        connector = buildConnector({
          ...this.clientTlsOptions(),
          ...(opts.timeoutMs === undefined ? {} : {timeout: opts.timeoutMs}),
        });
      }
      connector(target, callback);
    };
  }

  attachServer(server: SecureServer): void {
    this.onChange((material) => server.setSecureContext({...serverTlsOptions(material)}));
  }

  onChange(listener: (material: TlsMaterial) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  async reload(): Promise<boolean> {
    let material: TlsMaterial;
    try {
      material = await loadTlsMaterial(this.files, {clock: this.clock});
    } catch (thrown) {
      this.logProblem(toMedlarlaneError(thrown));
      return false;
    }
    this.lastLoggedProblem = undefined;
    if (material.digest === this.material.digest) return false;
    this.material = material;
    const notAfter = new Date(material.notAfterMs).toISOString();
    this.logger.info({notAfter}, 'Certificate replaced');
    for (const listener of [...this.listeners]) listener(material);
    return true;
  }

  close(): Promise<void> {
    return this.tasks.stop();
  }

  private logProblem(error: MedlarlaneError): void {
    if (this.lastLoggedProblem === error.message) return;
    this.lastLoggedProblem = error.message;
    this.logger.error({details: error.details}, 'New TLS files rejected');
  }
}
