export {
  ADMIN_OPERATIONS,
  ADMIN_PATH_PREFIX,
  adminChangeIdSchema,
  adminOperationPath,
  isAdminOperation,
} from './operations.js';
export type {
  AdminOperation,
  AdminOperationDefinition,
  AdminRequest,
  AdminResponse,
  ControlMember,
  InstanceProgress,
  LiveSession,
  PoisonEntry,
  RevisionEntry,
  ServiceStatus,
  TargetStatus,
} from './operations.js';
export {parseAdminRequest, parseAdminResponse, parseServiceDocument} from './parseAdmin.js';
export {formatProblems, toFieldProblems} from './problems.js';
export type {FieldProblem} from './problems.js';
