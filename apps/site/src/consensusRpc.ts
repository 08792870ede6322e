import type {
  ConsensusRequest,
  ConsensusResponse,
  ConsensusTransport,
  Replica,
} from '@medlarlane/consensus';
import {MedlarlaneError} from '@medlarlane/errors';
import type {RpcClient, RpcHandler} from '@medlarlane/rpc';

interface ConsensusCall {
  /** Replica that the caller means; another one may serve the address by now. */
  readonly replicaId: string;
  readonly request: ConsensusRequest;
}

/** The replica itself bounds each call, so this only has to be longer. */
const CALL_TIMEOUT_MS = 30_000;

/** Carries messages between replicas as calls of the process-to-process protocol. */
export function createRpcTransport(rpc: RpcClient): ConsensusTransport {
  return {
    call: async (replicaId, address, request, signal) => {
      const call: ConsensusCall = {replicaId, request};
      const answer = await rpc.call(address, 'consensus', call, {
        timeoutMs: CALL_TIMEOUT_MS,
        signal,
      });
      return answer as ConsensusResponse;
    },
  };
}

export function consensusHandler(replica: Replica): RpcHandler {
  return async (payload) => {
    const {replicaId, request} = payload as ConsensusCall;
    if (replicaId !== replica.replicaId) {
      throw new MedlarlaneError('MEMBER_UNKNOWN', `Replica ${replicaId} is not at this address`);
    }
    return replica.handle(request);
  };
}
