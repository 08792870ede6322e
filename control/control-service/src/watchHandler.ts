import type {MessageInitShape} from '@bufbuild/protobuf';
import type {WatchRequest, WatchResponseSchema} from '@medlarlane/control-rpc';
import {encodeValue} from '@medlarlane/model';
import type {ControlStateMachine} from './controlStateMachine.js';

type Response = MessageInitShape<typeof WatchResponseSchema>;

/** Streams directory changes from the applied state of this replica. */
export class WatchHandler {
  /** Latest encoded message. Most watchers wait at the same index and receive the same bytes. */
  private latestEncoded?: {readonly fromIndex: number; readonly response: Response};

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
    if (
      this.latestEncoded?.fromIndex === fromIndex &&
      this.latestEncoded.response.index === index
    ) {
      return this.latestEncoded.response;
    }
    const response = this.encode(fromIndex, index);
    this.latestEncoded = {fromIndex, response};
    return response;
  }

  private encode(fromIndex: number, index: bigint): Response {
    const {state} = this.machine;
    const changes = fromIndex === 0 ? undefined : state.changesSince(fromIndex);
    if (!changes) return {index, snapshot: encodeValue(state.directorySnapshot())};
    return changes.length === 0 ? {index} : {index, changes: encodeValue(changes)};
  }
}
