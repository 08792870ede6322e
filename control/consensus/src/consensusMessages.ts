import type {LogEntry, MemberSet} from '@medlarlane/log-store';

export interface VoteRequest {
  readonly kind: 'vote';
  readonly term: number;
  readonly candidateId: string;
  readonly lastLogIndex: number;
  readonly lastLogTerm: number;
  /** A pre-vote only asks whether the vote would be granted and changes no state. */
  readonly preVote: boolean;
}

export interface VoteResponse {
  readonly kind: 'vote';
  readonly term: number;
  readonly granted: boolean;
}

export interface AppendRequest {
  readonly kind: 'append';
  readonly term: number;
  readonly leaderId: string;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

export interface AppendResponse {
  readonly kind: 'append';
  readonly term: number;
  readonly success: boolean;
  /** On success the last index known to match; otherwise the index from which to retry. */
  readonly lastIndex: number;
  /** The follower cannot write its log. */
  readonly failed: boolean;
}

export interface InstallSnapshotRequest {
  readonly kind: 'installSnapshot';
  readonly term: number;
  readonly leaderId: string;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: MemberSet;
  readonly payload: Uint8Array;
}

export interface InstallSnapshotResponse {
  readonly kind: 'installSnapshot';
  readonly term: number;
  readonly success: boolean;
}

export type ConsensusRequest = VoteRequest | AppendRequest | InstallSnapshotRequest;
export type ConsensusResponse = VoteResponse | AppendResponse | InstallSnapshotResponse;
/** The response type of a request type. */
export type ResponseTo<R extends ConsensusRequest> = Extract<ConsensusResponse, {kind: R['kind']}>;

/** Sends a request to another replica. */
export interface ConsensusTransport {
  call(
    peerId: string,
    address: string,
    request: ConsensusRequest,
    signal: AbortSignal,
  ): Promise<ConsensusResponse>;
}
