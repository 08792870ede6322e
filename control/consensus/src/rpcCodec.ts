import {create} from '@bufbuild/protobuf';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  AppendRequestSchema,
  EntryKind as RpcEntryKind,
  InstallSnapshotRequestSchema,
  VoteRequestSchema,
} from '@medlarlane/control-rpc';
import type {
  AppendRequest as RpcAppendRequest,
  AppendResponse as RpcAppendResponse,
  AppendResponseSchema,
  Entry as RpcEntry,
  InstallSnapshotRequest as RpcInstallSnapshotRequest,
  InstallSnapshotResponse as RpcInstallSnapshotResponse,
  VoteRequest as RpcVoteRequest,
  VoteResponse as RpcVoteResponse,
} from '@medlarlane/control-rpc';
import {MedlarlaneError} from '@medlarlane/errors';
import type {EntryKind, LogEntry} from '@medlarlane/log-store';
import type {
  AppendRequest,
  AppendResponse,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './consensusMessages.js';
import {decodeMembers, encodeMembers} from './replicaLog.js';

const RPC_ENTRY_KINDS: Record<EntryKind, RpcEntryKind> = {
  noop: RpcEntryKind.NOOP,
  command: RpcEntryKind.COMMAND,
  members: RpcEntryKind.MEMBERS,
};
const ENTRY_KINDS = new Map(
  Object.entries(RPC_ENTRY_KINDS).map(([kind, rpcKind]) => [rpcKind, kind as EntryKind]),
);

export function toRpcVote(request: VoteRequest): RpcVoteRequest {
  const {candidateId, preVote} = request;
  return create(VoteRequestSchema, {
    term: BigInt(request.term),
    candidateId,
    lastLogIndex: BigInt(request.lastLogIndex),
    lastLogTerm: BigInt(request.lastLogTerm),
    preVote,
  });
}

export function fromRpcVote(request: RpcVoteRequest): VoteRequest {
  const {candidateId, preVote} = request;
  return {
    kind: 'vote',
    term: Number(request.term),
    candidateId,
    lastLogIndex: Number(request.lastLogIndex),
    lastLogTerm: Number(request.lastLogTerm),
    preVote,
  };
}

export function fromRpcVoteResponse({term, granted}: RpcVoteResponse): VoteResponse {
  return {kind: 'vote', term: Number(term), granted};
}

export function toRpcAppend(request: AppendRequest): RpcAppendRequest {
  return create(AppendRequestSchema, {
    term: BigInt(request.term),
    leaderId: request.leaderId,
    previousIndex: BigInt(request.previousIndex),
    previousTerm: BigInt(request.previousTerm),
    entries: request.entries.map(({index, term, kind, payload}) => ({
      index: BigInt(index),
      term: BigInt(term),
      kind: RPC_ENTRY_KINDS[kind],
      payload,
    })),
    commitIndex: BigInt(request.commitIndex),
  });
}

export function fromRpcAppend(request: RpcAppendRequest): AppendRequest {
  return {
    kind: 'append',
    term: Number(request.term),
    leaderId: request.leaderId,
    previousIndex: Number(request.previousIndex),
    previousTerm: Number(request.previousTerm),
    entries: request.entries.map(fromRpcEntry),
    commitIndex: Number(request.commitIndex),
  };
}

export function toRpcAppendResponse(
  response: AppendResponse,
): MessageInitShape<typeof AppendResponseSchema> {
  const {success, failed} = response;
  return {term: BigInt(response.term), success, lastIndex: BigInt(response.lastIndex), failed};
}

export function fromRpcAppendResponse(response: RpcAppendResponse): AppendResponse {
  const {success, failed} = response;
  return {
    kind: 'append',
    term: Number(response.term),
    success,
    lastIndex: Number(response.lastIndex),
    failed,
  };
}

export function toRpcInstallSnapshot(request: InstallSnapshotRequest): RpcInstallSnapshotRequest {
  return create(InstallSnapshotRequestSchema, {
    term: BigInt(request.term),
    leaderId: request.leaderId,
    lastIndex: BigInt(request.lastIndex),
    lastTerm: BigInt(request.lastTerm),
    members: encodeMembers(request.members),
    payload: request.payload,
  });
}

export function fromRpcInstallSnapshot(request: RpcInstallSnapshotRequest): InstallSnapshotRequest {
  return {
    kind: 'installSnapshot',
    term: Number(request.term),
    leaderId: request.leaderId,
    lastIndex: Number(request.lastIndex),
    lastTerm: Number(request.lastTerm),
    members: decodeMembers(request.members),
    payload: request.payload,
  };
}

export function fromRpcInstallSnapshotResponse(
  response: RpcInstallSnapshotResponse,
): InstallSnapshotResponse {
  return {kind: 'installSnapshot', term: Number(response.term), success: response.success};
}

function fromRpcEntry(entry: RpcEntry): LogEntry {
  const kind = ENTRY_KINDS.get(entry.kind);
  if (!kind) throw new MedlarlaneError('REQUEST_INVALID', 'Entry has an unknown kind');
  // Copied, because a view would keep the whole message in memory for the lifetime of the entry.
  const payload = new Uint8Array(entry.payload);
  return {index: Number(entry.index), term: Number(entry.term), kind, payload};
}
