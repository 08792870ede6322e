export {announcementSchema, withdrawalSchema} from './announcement.js';
export type {Announcement} from './announcement.js';
export {startTargetListener} from './startTargetListener.js';
export type {
  LocalTarget,
  TargetChange,
  TargetListener,
  TargetListenerOptions,
} from './startTargetListener.js';
