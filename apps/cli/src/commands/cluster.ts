import type {CommandDef} from 'citty';
import type {AdminResponse, ControlMember} from '@medlarlane/admin-api';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {AdminClient} from '../adminClient.js';
import type {CliIo} from '../cliIo.js';
import {defineRemoteCommand, parseWholeNumber} from '../operatorCommand.js';
import type {Output} from '../output.js';

const DEFAULT_WATCH_INTERVAL_MS = 2_000;
const MIN_WATCH_INTERVAL_MS = 100;
const MAX_WATCH_INTERVAL_MS = 3_600_000;

const SERVICE_ARG = {
  type: 'positional',
  required: true,
  description: '<team>/<service>',
} as const;

export function statusCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
    io,
    {name: 'status', description: 'Show control members, services and sessions', args: {}},
    async ({client, out}) => {
      const status = await client.call('status', {});
      out.writeResult(status, () => showStatus(out, status));
    },
  );
}

export function ownersCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
    io,
    {
      name: 'owners',
      description: 'Show which instance owns keys',
      args: {
        service: SERVICE_ARG,
        key: {type: 'positional', required: true, description: 'Keys as requests name them'},
      },
      isVariadic: true,
    },
    async ({args, positionals, client, out}) => {
      const [, ...keys] = positionals;
      const located: Array<AdminResponse<'locateKey'>> = [];
      for (const key of keys) {
        located.push(await client.call('locateKey', {service: args.service, key}));
      }
      out.writeResult(located, () =>
        out.table(
          ['KEY', 'OWNER', 'ZONE', 'CALLER ADDRESS', 'EPOCH', 'MOVING TO', 'POSITION'],
          located.map(({key, owner, epoch, nextInstanceId, position}) => [
            key,
            owner?.instanceId,
            owner?.availabilityZone,
            owner?.callerAddress,
            epoch,
            nextInstanceId,
            position,
          ]),
        ),
      );
    },
  );
}

export function targetsCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
    io,
    {
      name: 'targets',
      description: 'List the targets of a service',
      args: {service: SERVICE_ARG},
    },
    async ({args, client, out}) => {
      const response = await client.call('listTargets', {service: args.service});
      out.writeResult(response, () => showTargets(out, response));
    },
  );
}

export function drainCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
    io,
    {
      name: 'drain',
      description: 'Move all work away from an instance',
      args: {instance: {type: 'positional', required: true, description: 'Instance id'}},
    },
    async ({args, client, out}) => {
      const response = await client.call('drain', {instanceId: args.instance});
      out.writeResult(
        response,
        () => `${response.instanceId}: session ${response.sessionId} is draining`,
      );
    },
  );
}

export function watchCommand(io: CliIo): CommandDef {
  return defineRemoteCommand(
    io,
    {
      name: 'watch',
      description: 'Show the status, or the targets of a service, again and again',
      args: {
        service: {type: 'positional', required: false, description: '<team>/<service>'},
        'interval-ms': {
          type: 'string',
          valueHint: 'ms',
          description: 'Time between updates (default 2000)',
        },
        count: {
          type: 'string',
          valueHint: 'n',
          description: 'Number of updates (default: no limit)',
        },
      },
    },
    async ({args, client, out}) => {
      const intervalMs =
        parseWholeNumber('--interval-ms', args['interval-ms'], {
          min: MIN_WATCH_INTERVAL_MS,
          max: MAX_WATCH_INTERVAL_MS,
        }) ?? DEFAULT_WATCH_INTERVAL_MS;
      const count = parseWholeNumber('--count', args.count, {min: 1}) ?? Infinity;
      for (let shown = 1; !io.signal.aborted; shown += 1) {
        try {
          await showOnce(out, client, args.service);
        } catch (error) {
          // The watch is used while daemons fail, so only an error of the last update ends it.
          if (shown >= count) throw error;
          out.writeError(toMedlarlaneError(error));
        }
        if (shown >= count) return;
        await io.clock.sleep(intervalMs, {signal: io.signal}).catch(() => undefined);
      }
    },
  );
}

export function membersCommands(io: CliIo): Record<string, CommandDef> {
  const replica = {type: 'positional', required: true, description: 'Replica id'} as const;
  const address = {
    type: 'positional',
    required: true,
    description: '<ip>:<port> of the control listener',
  } as const;
  return {
    list: defineRemoteCommand(
      io,
      {name: 'list', description: 'List the control members', args: {}},
      async ({client, out}) => {
        const {members, lossesToleratedNow} = await client.call('status', {});
        out.writeResult({members, lossesToleratedNow}, () =>
          [showMembers(out, members), `losses tolerated now: ${lossesToleratedNow}`].join('\n'),
        );
      },
    ),
    add: defineRemoteCommand(
      io,
      {name: 'add', description: 'Add a learner', args: {replica, address}},
      async ({args, client, out}) => {
        const request = {replicaId: args.replica, address: args.address};
        const {members} = await client.call('addLearner', request);
        out.writeResult({members}, () => showMembers(out, members));
      },
    ),
    promote: defineRemoteCommand(
      io,
      {name: 'promote', description: 'Make a learner that has caught up a voter', args: {replica}},
      async ({args, client, out}) => {
        const {members} = await client.call('promote', {replicaId: args.replica});
        out.writeResult({members}, () => showMembers(out, members));
      },
    ),
    remove: defineRemoteCommand(
      io,
      {name: 'remove', description: 'Remove a member', args: {replica}},
      async ({args, client, out}) => {
        const {members} = await client.call('removeMember', {replicaId: args.replica});
        out.writeResult({members}, () => showMembers(out, members));
      },
    ),
  };
}

async function showOnce(
  out: Output,
  client: AdminClient,
  service: string | undefined,
): Promise<void> {
  if (service === undefined) {
    const status = await client.call('status', {});
    out.clearScreen();
    out.writeResult(status, () => showStatus(out, status));
  } else {
    const response = await client.call('listTargets', {service});
    out.clearScreen();
    out.writeResult(response, () => showTargets(out, response));
  }
}

function showStatus(out: Output, status: AdminResponse<'status'>): string {
  const {group, leaderId, term, commitIndex, lossesToleratedNow} = status;
  const sections = [
    `group ${group}, leader ${leaderId}, term ${term}, commit index ${commitIndex}, ` +
      `losses tolerated now ${lossesToleratedNow}`,
    showMembers(out, status.members),
    out.heading('Services'),
    out.table(
      ['SERVICE', 'REVISION', 'SPLIT BY KEY', 'TARGETS', 'RANGES', 'UNOWNED', 'MOVING'],
      status.services.map((row) => [
        row.service,
        row.revision,
        row.splitByKey,
        row.sessionCount,
        row.rangeCount,
        row.unownedRangeCount,
        row.movingRangeCount,
      ]),
    ),
    out.heading('Sessions'),
    out.table(
      ['SESSION', 'INSTANCE', 'ZONE', 'SERVICE', 'DRAINING', 'APPLIED INDEX', 'ADMIN ADDRESS'],
      status.sessions.map((row) => [
        row.sessionId,
        row.instanceId,
        row.availabilityZone,
        row.service,
        row.draining,
        row.appliedIndex,
        row.adminAddress,
      ]),
    ),
  ];
  if (status.poison.length === 0) return sections.join('\n\n');
  return [
    ...sections,
    out.heading('Quarantined requests'),
    out.table(
      ['SERVICE', 'FINGERPRINT', 'CRASHES', 'FORGOTTEN IN MS'],
      status.poison.map((row) => [row.service, row.fingerprint, row.crashes, row.remainingMs]),
    ),
  ].join('\n\n');
}

function showMembers(out: Output, members: readonly ControlMember[]): string {
  return out.table(
    ['MEMBER', 'ROLE', 'REACHABLE', 'DISK', 'MATCH INDEX', 'ADDRESS'],
    members.map(({replicaId, role, reachable, disk, matchIndex, address}) => [
      replicaId,
      role,
      reachable,
      disk,
      matchIndex,
      address,
    ]),
  );
}

function showTargets(out: Output, {targets}: AdminResponse<'listTargets'>): string {
  return out.table(
    [
      'INSTANCE',
      'ZONE',
      'DRAINING',
      'RANGES',
      'RATE RPS',
      'IN FLIGHT',
      'CALLER ADDRESS',
      'SESSION',
    ],
    targets.map((row) => [
      row.instanceId,
      row.availabilityZone,
      row.draining,
      row.rangesOwned,
      row.load.rateRps,
      row.load.inFlight,
      row.callerAddress,
      row.sessionId,
    ]),
  );
}
