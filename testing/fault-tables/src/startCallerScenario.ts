import {request} from 'undici';
import {v7 as createId} from 'uuid';
import {
  callAdmin,
  createTeam,
  eventually,
  startCluster,
  startScriptedTarget,
} from '@medlarlane/fixtures';
import type {DaemonProcess, DocumentInput, ScriptedTarget} from '@medlarlane/fixtures';
import {createDocument, SERVICE} from './scenario.js';

/** A daemon with a scripted target that owns all keys, and an entry daemon that owns none. */
export interface CallerScenario {
  /** Owns no keys, so that each request from a caller takes another hop. */
  readonly entry: DaemonProcess;
  readonly owner: DaemonProcess;
  readonly target: ScriptedTarget;
  dispose(): Promise<void>;
}

/** Starts three daemons as separate processes; the target runs in the test process. */
export async function startCallerScenario(
  document: Partial<DocumentInput> = {},
): Promise<CallerScenario> {
  const cluster = await startCluster({replicaCount: 1});
  let target: ScriptedTarget | undefined;
  try {
    const [entry, owner] = await Promise.all([
      cluster.startDaemon({instanceId: 'entry'}),
      cluster.startDaemon({instanceId: 'owner'}),
    ]);
    const team = createTeam('prairie-crag');
    await eventually('the control leader', () => team.claim(entry.ready.admin));
    await team.apply(entry.ready.admin, createDocument(document));
    const startedTarget = await startScriptedTarget({daemon: owner.ready.target, service: SERVICE});
    target = startedTarget;
    await eventually('an owner of all ranges', async () => {
      const {services} = await callAdmin(entry.ready.admin, 'status', {});
      const service = services.find((candidate) => candidate.service === SERVICE);
      return service && service.rangeCount > 0 && service.unownedRangeCount === 0;
    });
    // The owner rejects ids that are older than its ownership plus the clock skew.
    await eventually('ids newer than the ownership', () => isServed(entry.ready.caller));
    return {
      entry,
      owner,
      target: startedTarget,
      dispose: async () => {
        await startedTarget.close();
        await cluster.dispose();
      },
    };
  } catch (failure) {
    // An open listener would keep the test process alive.
    await target?.close();
    await cluster.dispose();
    throw failure;
  }
}

async function isServed(caller: string): Promise<boolean> {
  const {statusCode, body} = await request(`http://${caller}/walls/first`, {
    method: 'POST',
    headers: {'medlarlane-service': SERVICE, 'idempotency-key': createId()},
  });
  await body.dump();
  return statusCode === 200;
}
