import type {MessageInitShape} from '@bufbuild/protobuf';
import type {SessionRequest, SessionResponseSchema} from '@medlarlane/control-rpc';
import {MedlarlaneError, toMedlarlaneError} from '@medlarlane/errors';
import {decodeValue, poisonReportSchema, registrationSchema} from '@medlarlane/model';
import type {Clock} from '@medlarlane/lifecycle';
import type {Logger} from '@medlarlane/logger';
import type {LoadAggregator} from '@medlarlane/placement';
import type {ControlStateMachine} from './controlStateMachine.js';
import type {Leadership} from './leadership.js';

type Response = MessageInitShape<typeof SessionResponseSchema>;
type Message = SessionRequest['message'];
type MessageCase = NonNullable<Message['case']>;
type ValueOf<C extends MessageCase> = Extract<Message, {case: C}>['value'];

export interface SessionHandlerOptions {
  readonly leadership: Leadership;
  readonly machine: ControlStateMachine;
  readonly loads: LoadAggregator;
  readonly leaseTtlMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Id of the session that the stream has registered or resumed; 0 before that. */
interface StreamContext {
  sessionId: number;
}

type Handlers = {
  readonly [C in MessageCase]: (
    value: ValueOf<C>,
    stream: StreamContext,
  ) => Promise<Response | undefined>;
};

/** Serves the lease sessions of daemons; each connected daemon has one stream. */
export class SessionHandler {
  private readonly handlers: Handlers = {
    register: async ({registration}, stream) => {
      const command = {
        kind: 'registerSession',
        registration: decodeValue(registrationSchema, registration),
      } as const;
      const result = await this.opts.leadership.propose(command);
      if (!result.ok) throw new MedlarlaneError(result.code, result.message);
      stream.sessionId = result.sessionId ?? 0;
      this.opts.logger.info(
        {sessionId: stream.sessionId, instanceId: command.registration.instanceId},
        'Session registered',
      );
      return this.registered(stream);
    },
    resume: async ({sessionId, incarnation}, stream) => {
      const session = this.opts.machine.state.session(Number(sessionId));
      if (session?.incarnation !== incarnation) return sessionEnded('unknown session');
      stream.sessionId = session.sessionId;
      return this.registered(stream);
    },
    renew: async (renewal, stream) => {
      const appliedIndex = Number(renewal.appliedIndex);
      const outcome = this.opts.leadership.renew(stream.sessionId, appliedIndex);
      if (outcome === 'ended') return sessionEnded('lease expired');
      if (outcome === 'no-quorum') return undefined;
      this.opts.loads.mergeReport(stream.sessionId, renewal, this.opts.clock.nowMs());
      return {
        message: {
          case: 'renewAck',
          value: {seq: renewal.seq, commitIndex: BigInt(this.opts.machine.state.appliedIndex)},
        },
      };
    },
    released: async ({ranges}, stream) => {
      const service = this.opts.machine.state.session(stream.sessionId)?.service;
      if (service === undefined) return sessionEnded('unknown session');
      await this.opts.leadership.propose({
        kind: 'finishMoves',
        service,
        ranges: ranges.map(({startPosition, epoch}) => ({startPosition, epoch: Number(epoch)})),
      });
      return undefined;
    },
    giveUp: async ({reason}, stream) => {
      await this.opts.leadership.endSession(stream.sessionId, reason);
      return sessionEnded(reason);
    },
    poisonReport: async ({entries}, stream) => {
      const service = this.opts.machine.state.session(stream.sessionId)?.service;
      if (service === undefined) return undefined;
      await this.opts.leadership.propose({
        kind: 'reportPoison',
        service,
        reportedAtMs: this.opts.clock.wallMs(),
        report: decodeValue(poisonReportSchema, entries),
      });
      return undefined;
    },
    drain: async (_drain, stream) => {
      await this.opts.leadership.propose({kind: 'drainSession', sessionId: stream.sessionId});
      return undefined;
    },
  };

  constructor(private readonly opts: SessionHandlerOptions) {}

  async *session(requests: AsyncIterable<SessionRequest>): AsyncGenerator<Response> {
    const stream: StreamContext = {sessionId: 0};
    for await (const {message} of requests) {
      if (message.case === undefined) continue;
      if (!this.opts.leadership.isLeader()) {
        yield notLeader(this.opts.leadership.leaderAddress());
        return;
      }
      const response = await this.handle(message, stream);
      if (response) yield response;
      if (response?.message?.case === 'sessionEnded') return;
    }
  }

  private async handle(message: Message, stream: StreamContext): Promise<Response | undefined> {
    const handler = this.handlers[message.case as MessageCase] as (
      value: unknown,
      stream: StreamContext,
    ) => Promise<Response | undefined>;
    try {
      return await handler(message.value, stream);
    } catch (thrown) {
      const error = toMedlarlaneError(thrown);
      if (error.code !== 'NOT_LEADER') throw error;
      return notLeader(this.opts.leadership.leaderAddress());
    }
  }

  private registered(stream: StreamContext): Response {
    return {
      message: {
        case: 'registered',
        value: {
          sessionId: BigInt(stream.sessionId),
          leaseTtlMs: this.opts.leaseTtlMs,
          commitIndex: BigInt(this.opts.machine.state.appliedIndex),
        },
      },
    };
  }
}

function sessionEnded(reason: string): Response {
  return {message: {case: 'sessionEnded', value: {reason}}};
}

function notLeader(leaderAddress: string): Response {
  return {message: {case: 'notLeader', value: {leaderAddress}}};
}
