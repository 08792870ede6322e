import type {MessageInitShape} from '@bufbuild/protobuf';
import {createHash} from 'node:crypto';
import {isAdminOperation, parseAdminRequest} from '@medlarlane/admin-api';
import type {
  AdminOperation,
  AdminRequest,
  AdminResponse,
  ControlMember,
} from '@medlarlane/admin-api';
import type {Replica} from '@medlarlane/consensus';
import type {CommandResult, DocumentRevision} from '@medlarlane/control-state';
import type {ExecuteRequest, ExecuteResponseSchema} from '@medlarlane/control-rpc';
import {MedlarlaneError, toMedlarlaneError, toProblemDocument} from '@medlarlane/errors';
import {hashKey} from '@medlarlane/key-space';
import type {Clock} from '@medlarlane/lifecycle';
import type {LeaseTable} from '@medlarlane/leases';
import type {Command, Session} from '@medlarlane/model';
import type {LoadAggregator} from '@medlarlane/placement';
import type {ControlStateMachine} from './controlStateMachine.js';
import type {Leadership} from './leadership.js';
import {listQuarantinedRequests} from './listQuarantinedRequests.js';

export interface AdminHandlerOptions {
  readonly leadership: Leadership;
  readonly machine: ControlStateMachine;
  readonly replica: Replica;
  readonly leases: LeaseTable;
  readonly loads: LoadAggregator;
  readonly clock: Clock;
  readonly group: string;
}

type Handlers = {
  readonly [O in AdminOperation]: (request: AdminRequest<O>) => Promise<AdminResponse<O>>;
};

/** Executes the operations of the admin API on the leader. */
export class AdminHandler {
  private readonly handlers: Handlers = {
    claimTeam: async (request) => {
      const {index} = await this.commit({kind: 'claimTeam', ...request});
      return {team: request.team, index};
    },
    applyDocument: async (request) => {
      const proposedAtMs = this.opts.clock.wallMs();
      const result = await this.commit({kind: 'applyDocument', ...request, proposedAtMs});
      return {service: request.service, revision: result.revision ?? 0, index: result.index};
    },
    getDocument: async ({service, revision}) => {
      const found = this.findRevision(service, revision);
      const {documentJson, signature} = found;
      return {service, documentJson, signature, ...revisionEntry(found)};
    },
    history: async ({service, limit}) => {
      this.findRevision(service, undefined);
      const newestFirst = this.state.revisionsOf(service).toReversed().map(revisionEntry);
      return {service, revisions: newestFirst.slice(0, limit)};
    },
    status: async () => this.status(),
    locateKey: async ({service, key}) => this.locateKey(service, key),
    listTargets: async ({service}) => this.listTargets(service),
    drain: async ({instanceId}) => {
      const session = this.state
        .allSessions()
        .find((candidate) => candidate.instanceId === instanceId);
      if (!session) throw new MedlarlaneError('INSTANCE_UNKNOWN');
      await this.commit({kind: 'drainSession', sessionId: session.sessionId});
      return {instanceId, sessionId: session.sessionId};
    },
    addLearner: async ({replicaId, address}) =>
      this.changeMembers({kind: 'addLearner', replicaId, address}),
    promote: async ({replicaId}) => this.changeMembers({kind: 'promote', replicaId}),
    removeMember: async ({replicaId}) => this.changeMembers({kind: 'remove', replicaId}),
    inForce: async ({index}) => this.inForce(index),
  };

  constructor(private readonly opts: AdminHandlerOptions) {}

  private get state(): ControlStateMachine['state'] {
    return this.opts.machine.state;
  }

  /** Returns the result or a problem document; never throws. */
  async execute({
    operation,
    argumentsJson,
  }: ExecuteRequest): Promise<MessageInitShape<typeof ExecuteResponseSchema>> {
    try {
      const result = await this.run(operation, JSON.parse(argumentsJson));
      return {resultJson: JSON.stringify(result)};
    } catch (thrown) {
      return {problemJson: JSON.stringify(toProblemDocument(toMedlarlaneError(thrown)))};
    }
  }

  private async run(operation: string, args: unknown): Promise<unknown> {
    if (!isAdminOperation(operation)) {
      throw new MedlarlaneError('REQUEST_INVALID', `Unknown operation ${operation}`);
    }
    if (!this.opts.leadership.isLeader()) throw this.opts.leadership.notLeaderError();
    // Ensures that reads see every acknowledged change.
    await this.opts.replica.readBarrier();
    const handler = this.handlers[operation] as (request: unknown) => Promise<unknown>;
    return handler(parseAdminRequest(operation, args));
  }

  private async commit(command: Command): Promise<Extract<CommandResult, {ok: true}>> {
    const result = await this.opts.leadership.propose(command);
    if (result.ok) return result;
    const {code, message, details} = result;
    throw new MedlarlaneError(code, message, details ? {details} : {});
  }

  private findRevision(service: string, revision: number | undefined): DocumentRevision {
    const revisions = this.state.revisionsOf(service);
    if (revisions.length === 0) throw new MedlarlaneError('SERVICE_UNKNOWN');
    const found =
      revision === undefined
        ? revisions.at(-1)
        : revisions.find((entry) => entry.revision === revision);
    if (found) return found;
    throw new MedlarlaneError('REVISION_UNKNOWN');
  }

  private async changeMembers(
    change: Parameters<Replica['changeMembers']>[0],
  ): Promise<{members: ControlMember[]}> {
    await this.opts.replica.changeMembers(change);
    return {members: this.members()};
  }

  private members(): ControlMember[] {
    const {members, peers, leaderId, replicaId, lastIndex, failure} = this.opts.replica.status();
    return [...members.voters, ...members.learners].map((memberId) => {
      const isSelf = memberId === replicaId;
      const peer = peers?.[memberId];
      const role = members.learners.includes(memberId) ? 'learner' : 'follower';
      return {
        replicaId: memberId,
        address: members.addresses[memberId] ?? '',
        role: memberId === leaderId ? 'leader' : role,
        matchIndex: isSelf ? lastIndex : (peer?.matchIndex ?? 0),
        disk: diskState(isSelf ? failure !== undefined : peer?.failed, isSelf || peer?.reachable),
        reachable: isSelf || (peer?.reachable ?? false),
      };
    });
  }

  private status(): AdminResponse<'status'> {
    const {replica, group} = this.opts;
    const {term, commitIndex, lossesTolerated, leaderId} = replica.status();
    return {
      group,
      leaderId: leaderId ?? '',
      term,
      commitIndex,
      lossesToleratedNow: lossesTolerated ?? 0,
      members: this.members(),
      sessions: this.state.allSessions().map((session) => ({
        ...session,
        appliedIndex: this.appliedIndexOf(session.sessionId),
      })),
      services: this.state.services().map((service) => this.serviceStatus(service)),
      poison: listQuarantinedRequests(this.state.poisonReports(), this.opts.clock.wallMs()),
    };
  }

  private serviceStatus(service: string): AdminResponse<'status'>['services'][number] {
    const ranges = this.state.ranges(service)?.all ?? [];
    return {
      service,
      revision: this.state.currentRevision(service)!.revision,
      splitByKey: this.state.document(service)!.splitByKey,
      sessionCount: this.state.sessionsOf(service).length,
      rangeCount: ranges.length,
      unownedRangeCount: ranges.filter(({ownerSessionId}) => ownerSessionId === 0).length,
      movingRangeCount: ranges.filter(({nextSessionId}) => nextSessionId !== 0).length,
    };
  }

  private locateKey(service: string, key: string): AdminResponse<'locateKey'> {
    const document = this.state.document(service);
    if (!document) throw new MedlarlaneError('SERVICE_UNKNOWN');
    if (!document.splitByKey) {
      throw new MedlarlaneError('REQUEST_INVALID', `Service ${service} is not split by key`);
    }
    const position = hashKey(key);
    const range = this.state.ranges(service)?.find(position);
    const owner = this.state.session(range?.ownerSessionId ?? 0);
    const next = this.state.session(range?.nextSessionId ?? 0);
    return {
      service,
      key,
      position,
      epoch: range?.epoch ?? 0,
      ...(owner ? {owner: toKeyOwner(owner)} : {}),
      ...(next ? {nextInstanceId: next.instanceId} : {}),
    };
  }

  private listTargets(service: string): AdminResponse<'listTargets'> {
    if (!this.state.document(service)) throw new MedlarlaneError('SERVICE_UNKNOWN');
    const ranges = this.state.ranges(service)?.all ?? [];
    const {rangeLoads} = this.opts.loads.loadsOf(ranges, this.opts.clock.nowMs());
    const targets = this.state.sessionsOf(service).map((session) => {
      const owned = ranges.filter(({ownerSessionId}) => ownerSessionId === session.sessionId);
      const rateRps = owned.reduce(
        (sum, {startPosition}) => sum + (rangeLoads.get(startPosition) ?? 0),
        0,
      );
      return {
        sessionId: session.sessionId,
        instanceId: session.instanceId,
        region: session.region,
        availabilityZone: session.availabilityZone,
        callerAddress: session.callerAddress,
        draining: session.draining,
        rangesOwned: owned.length,
        appliedIndex: this.appliedIndexOf(session.sessionId),
        load: {rateRps, inFlight: 0},
      };
    });
    return {service, targets};
  }

  private inForce(index: number): AdminResponse<'inForce'> {
    const rows = this.state.allSessions().map(({sessionId, instanceId, availabilityZone}) => ({
      instanceId,
      availabilityZone,
      appliedIndex: this.appliedIndexOf(sessionId),
    }));
    return {
      index,
      applied: rows.filter(({appliedIndex}) => appliedIndex >= index),
      notApplied: rows.filter(({appliedIndex}) => appliedIndex < index),
    };
  }

  private appliedIndexOf(sessionId: number): number {
    return this.opts.leases.find(sessionId)?.appliedIndex ?? 0;
  }
}

function revisionEntry(entry: DocumentRevision): AdminResponse<'history'>['revisions'][number] {
  const {revision, index, changeId, baseRevision, documentJson} = entry;
  const documentSha256 = createHash('sha256').update(documentJson).digest('hex');
  return {revision, index, changeId, baseRevision, documentSha256};
}

function diskState(
  failed: boolean | undefined,
  reachable: boolean | undefined,
): ControlMember['disk'] {
  if (failed) return 'failed';
  return reachable ? 'ok' : 'unknown';
}

function toKeyOwner(session: Session): NonNullable<AdminResponse<'locateKey'>['owner']> {
  const {sessionId, instanceId, availabilityZone, callerAddress} = session;
  return {sessionId, instanceId, availabilityZone, callerAddress};
}
