import {EventEmitter, once} from 'node:events';
import type {StateMachine} from '@medlarlane/consensus';
import type {CommandResult, ControlState} from '@medlarlane/control-state';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {LeaseTable} from '@medlarlane/leases';
import {commandSchema, decodeValue} from '@medlarlane/model';
import type {LogEntry} from '@medlarlane/log-store';
import type {Command} from '@medlarlane/model';
import type {LoadAggregator} from '@medlarlane/placement';

/** Applies log entries to the control state and updates the watchers, the lease table and the reported loads. */
export class ControlStateMachine implements StateMachine {
  private readonly events = new EventEmitter().setMaxListeners(0);

  constructor(
    readonly state: ControlState,
    private readonly leases: LeaseTable,
    private readonly loads: LoadAggregator,
  ) {}

  apply(entry: LogEntry): CommandResult {
    const result = this.applyCommand(entry);
    this.events.emit('applied');
    return result;
  }

  snapshot(): Uint8Array {
    return this.state.snapshot();
  }

  restore(payload: Uint8Array): void {
    this.state.restore(payload);
    this.events.emit('applied');
  }

  /** Resolves at the next applied entry; rejects when `signal` aborts. */
  async nextApplied(signal: AbortSignal): Promise<void> {
    await once(this.events, 'applied', {signal});
  }

  private applyCommand({index, payload}: LogEntry): CommandResult {
    let command: Command;
    try {
      command = decodeValue(commandSchema, payload);
    } catch (thrown) {
      // Every replica decodes the same bytes with the same schema, so all replicas reject the entry.
      const {code, message} = toMedlarlaneError(thrown);
      this.state.skipEntry(index);
      return {ok: false, code, message};
    }
    const result = this.state.apply(index, command);
    this.updateSessions(command, result);
    return result;
  }

  private updateSessions(command: Command, result: CommandResult): void {
    if (!result.ok) return;
    if (command.kind === 'registerSession' && result.sessionId !== undefined) {
      this.leases.grant(result.sessionId);
    }
    if (command.kind !== 'endSession') return;
    this.leases.remove(command.sessionId);
    this.loads.removeSession(command.sessionId);
  }
}
