import type {MessageInitShape} from '@bufbuild/protobuf';
import type {WatchRequest, WatchResponseSchema} from '@medlarlane/control-rpc';
import {encodeValue} from '@medlarlane/model';
import type {ControlStateMachine} from './controlStateMachine.js';

type Response = MessageInitShape<typeof WatchResponseSchema>;

/** Streams directory changes from the applied state of this replica. */
export class WatchHandler {
  /** The latest encoded message: most watchers wait at the same index and get the same bytes. */
  private latest?: {readonly fromIndex: number; readonly response: Response};

  constructor(private readonly machine: ControlStateMachine) {}

  async *watch(request: WatchRequest, signal: AbortSignal): AsyncGenerator<Response> {
    let index = Number(request.fromIndex);
    for (;;) {
      if (this.machine.state.appliedIndex > index) {
        const response = this.responseFrom(index);
        yield response;
        index = Number(response.index);
      }
      if (this.machine.state.appliedIndex <= index) await this.machine.nextApplied(signal);
    }
  }

  private responseFrom(fromIndex: number): Response {
    const index = BigInt(this.machine.state.appliedIndex);
    if (this.latest?.fromIndex === fromIndex && this.latest.response.index === index) {
      return this.latest.response;
    }
    const response = this.encode(fromIndex, index);
    this.latest = {fromIndex, response};
    return response;
  }

  private encode(fromIndex: number, index: bigint): Response {
    const {state} = this.machine;
    const changes = fromIndex === 0 ? undefined : state.changesSince(fromIndex);
    if (!changes) return {index, snapshot: encodeValue(state.directorySnapshot())};
    return changes.length === 0 ? {index} : {index, changes: encodeValue(changes)};
  }
}
