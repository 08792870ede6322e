export type {
  AppendRequest,
  AppendResponse,
  ConsensusRequest,
  ConsensusResponse,
  ConsensusTransport,
  InstallSnapshotRequest,
  InstallSnapshotResponse,
  VoteRequest,
  VoteResponse,
} from './consensusMessages.js';
export type {CommittedCommand, PeerStatus, ReadBarrierOptions} from './leadership.js';
export type {MemberChange} from './memberChange.js';
export {startReplica} from './startReplica.js';
export type {
  Replica,
  ReplicaRole,
  ReplicaStatus,
  RoleChange,
  StartReplicaOptions,
  StateMachine,
} from './startReplica.js';
export {DEFAULT_TIMINGS} from './timings.js';
export type {ReplicaTimings} from './timings.js';
export {consensusRoutes} from './consensusRoutes.js';
export {createConnectTransport} from './createConnectTransport.js';
export type {ConnectTransport, ConnectTransportOptions} from './createConnectTransport.js';
