export {
  ADMIN_OPERATIONS,
  ADMIN_PATH_PREFIX,
  adminChangeIdSchema,
  adminPathOf,
  isAdminOperation,
} from './operations.js';
export type {
  AdminOperation,
  AdminOperationRow,
  AdminRequest,
  AdminResponse,
  ControlMember,
  InstanceProgress,
  LiveSession,
  PoisonEntry,
  RevisionEntry,
  ServiceStatus,
  TargetRow,
} from './operations.js';
export {parseAdminRequest, parseAdminResponse, parseServiceDocument} from './parseAdmin.js';
export {describeProblems, problemsOf} from './problems.js';
export type {FieldProblem} from './problems.js';
