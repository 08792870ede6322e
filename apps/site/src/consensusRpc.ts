import type {
  ConsensusRequest,
  ConsensusResponse,
  ConsensusTransport,
  Replica,
} from '@medlarlane/consensus';
import {MedlarlaneError} from '@medlarlane/errors';
import type {RpcClient, RpcHandler} from '@medlarlane/rpc';

interface ConsensusCall {
  /** Replica to which the call is addressed; another replica may use the address by now. */
  readonly replicaId: string;
  readonly request: ConsensusRequest;
}

/** The replica enforces its own, shorter timeout for each call. */
const CALL_TIMEOUT_MS = 30_000;

/**
 * Creates a transport that sends messages between replicas as calls of the process-to-process
 * protocol.
 */
export function createRpcTransport(rpc: RpcClient): ConsensusTransport {
  return {
    call: async (replicaId, address, request, signal) => {
      const call: ConsensusCall = {replicaId, request};
      const response = await rpc.call(address, 'consensus', call, {
        timeoutMs: CALL_TIMEOUT_MS,
        signal,
      });
      return response as ConsensusResponse;
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
