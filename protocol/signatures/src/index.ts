export {
  derivePublicKey,
  generateTeamKey,
  isTeamPublicKey,
  signDocumentChange,
  verifyDocumentChange,
} from './documentSignature.js';
export type {DocumentChange, SignedDocumentChange, TeamKey} from './documentSignature.js';
