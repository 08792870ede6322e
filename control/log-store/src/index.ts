export {nodeFileSystem} from './fileSystem.js';
export type {FileSystem, ReadableFile, StoreFile} from './fileSystem.js';
export {openLogStore} from './openLogStore.js';
export type {LogStore, OpenLogStoreOptions, RecoveredLog} from './openLogStore.js';
export {memberSetSchema} from './records.js';
export type {EntryKind, HardState, LogBatch, LogEntry, MemberSet, Snapshot} from './records.js';
