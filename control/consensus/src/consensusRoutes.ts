import type {ConnectRouter} from '@connectrpc/connect';
import {Code, ConnectError} from '@connectrpc/connect';
import {ConsensusService} from '@medlarlane/control-rpc';
import {toMedlarlaneError} from '@medlarlane/errors';
import type {ConsensusRequest, ResponseTo} from './consensusMessages.js';
import {
  fromRpcAppend,
  fromRpcInstallSnapshot,
  fromRpcVote,
  toRpcAppendResponse,
} from './rpcCodec.js';
import type {Replica} from './startReplica.js';

/** Returns the function that registers ConsensusService for a replica on a connect router. */
export function consensusRoutes(
  replica: Pick<Replica, 'handle'>,
): (router: ConnectRouter) => ConnectRouter {
  return (router) =>
    router.service(ConsensusService, {
      vote: async (request) => {
        const {term, granted} = await handle(replica, () => fromRpcVote(request));
        return {term: BigInt(term), granted};
      },
      append: async (request) =>
        toRpcAppendResponse(await handle(replica, () => fromRpcAppend(request))),
      installSnapshot: async (request) => {
        const {term, success} = await handle(replica, () => fromRpcInstallSnapshot(request));
        return {term: BigInt(term), success};
      },
    });
}

async function handle<R extends ConsensusRequest>(
  replica: Pick<Replica, 'handle'>,
  decode: () => R,
): Promise<ResponseTo<R>> {
  try {
    return (await replica.handle(decode())) as ResponseTo<R>;
  } catch (thrown) {
    const error = toMedlarlaneError(thrown);
    const code = error.code === 'INTERNAL' ? Code.Internal : Code.FailedPrecondition;
    throw new ConnectError(`${error.code}: ${error.message}`, code);
  }
}
