import type {TestContext} from 'node:test';
import {request} from 'undici';
import {serviceDocumentSchema} from '@medlarlane/model';
import type {ServiceDocument} from '@medlarlane/model';
import {TargetLink} from '@medlarlane/target-link';
import type {ProbeObservation, TargetLinkOptions, TargetSettings} from '@medlarlane/target-link';

export const SERVICE = 'tharangam/permit-desk';

export function createSettings(targets: Partial<ServiceDocument['targets']> = {}): TargetSettings {
  return serviceDocumentSchema.parse({
    service: SERVICE,
    splitByKey: false,
    targets: {
      slots: 14,
      connections: 120,
      probe: {intervalMs: 20, timeoutMs: 10_000, failures: 3},
      ...targets,
    },
    stop: {cancellation: true, notifyDrain: true},
  });
}

export interface ObservedLink {
  readonly link: TargetLink;
  readonly probes: ProbeObservation[];
  readonly hasExited: () => boolean;
}

export function startLink(
  t: TestContext,
  address: string,
  opts: Partial<TargetLinkOptions> = {},
): ObservedLink {
  const probes: ProbeObservation[] = [];
  let exited = false;
  const link = new TargetLink({
    target: {service: SERVICE, address, incarnation: 'test'},
    settings: createSettings(),
    // Long enough that a slow machine does not cause timeouts.
    controlTimeoutMs: 10_000,
    onProbe: (probe) => probes.push(probe),
    onProcessExit: () => (exited = true),
    ...opts,
  }).start();
  t.after(() => link.close());
  return {link, probes, hasExited: () => exited};
}

export interface RunResponse {
  readonly status: number;
  readonly ran: string | undefined;
  readonly body: {runs?: number; problem?: string};
}

export async function sendRequest(
  address: string,
  headers: Record<string, string> = {},
): Promise<RunResponse> {
  const response = await request(`http://${address}/permits/7`, {headers});
  return {
    status: response.statusCode,
    ran: response.headers['medlarlane-ran'] as string | undefined,
    body: (await response.body.json()) as RunResponse['body'],
  };
}
