import type {Logger} from '@medlarlane/logger';
import type {DaemonSettings} from '@medlarlane/settings';
import type {ListenAddresses} from './listenAddresses.js';
import {wireDaemon} from './wireDaemon.js';

export interface DaemonAddresses extends ListenAddresses {
  readonly instanceId: string;
  readonly target: string;
  /** Port of the control listener; 0 without a control replica. */
  readonly controlPort: number;
}

export interface RunningDaemon {
  readonly addresses: DaemonAddresses;
  readonly logger: Logger;
  /**
   * Drains the daemon: moves its ranges away, waits for requests in flight, and closes all
   * resources.
   */
  stop(): Promise<void>;
}

/**
 * Starts a daemon in this process.
 * @throws MedlarlaneError when a listener cannot be bound or the data folder cannot be used.
 */
export async function startDaemon(settings: DaemonSettings): Promise<RunningDaemon> {
  const kernel = wireDaemon(settings);
  try {
    await kernel.start();
    const supervisor = await kernel.get('targetSupervisor');
    const controlClient = await kernel.get('controlClient');
    const targetListener = await kernel.get('targetListener');
    controlClient.start();
    supervisor.start();
    return {
      addresses: {
        ...(await kernel.get('addresses')),
        instanceId: settings.instanceId,
        target: targetListener.address,
        controlPort: (await kernel.get('controlListener')).port,
      },
      logger: await kernel.get('logger'),
      stop: async () => {
        await supervisor.drain('daemon stops');
        await kernel.stop();
      },
    };
  } catch (failure) {
    await kernel.stop().catch(() => undefined);
    throw failure;
  }
}
