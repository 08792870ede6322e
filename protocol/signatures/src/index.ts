export {
  generateTeamKey,
  isTeamPublicKey,
  derivePublicKey,
  signDocumentChange,
  verifyDocumentChange,
} from './documentSignature.js';
export type {DocumentChange, SignedDocumentChange, TeamKey} from './documentSignature.js';
