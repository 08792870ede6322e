export {decodeConfiguration, reportRequestSchema, reportResponseSchema} from './reports.js';
export type {
  DirectoryInstance,
  ReportRequest,
  ReportResponse,
  ReportedTarget,
  ServiceSums,
  TargetState,
  TransferRequest,
} from './reports.js';
export {createGroupJoin} from './createGroupJoin.js';
export type {GroupJoin, GroupJoinOptions} from './createGroupJoin.js';
export {
  joinRequestSchema,
  leaveRequestSchema,
  leaveResponseSchema,
  MemberManager,
} from './memberManager.js';
export type {
  JoinRequest,
  LeaveRequest,
  LeaveResponse,
  MemberManagerOptions,
} from './memberManager.js';
export {decodeSums, ServiceDemandTable} from './serviceDemand.js';
export {SiteControl} from './siteControl.js';
export type {SiteControlOptions} from './siteControl.js';
export {KEY_LEASE_MS, KeyLeaseTable} from './keyLeaseTable.js';
export {InstanceDirectory} from './instanceDirectory.js';
export {planTransfers} from './planTransfers.js';
export type {LoadedTarget, Transfer} from './planTransfers.js';
export {planKeys} from './planKeys.js';
export type {KeyPlan, KeyPlanInput, CandidateTarget} from './planKeys.js';
