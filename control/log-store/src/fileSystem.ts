import {constants} from 'node:fs';
import * as fs from 'node:fs/promises';
import path from 'node:path';

/** An open file of the store. Positions are byte offsets from the start of the file. */
export interface StoreFile {
  /** Writes all bytes at `position`. */
  write(bytes: Uint8Array, position: number): Promise<void>;
  /** Resolves once the contents are on stable storage. */
  sync(): Promise<void>;
  truncate(sizeBytes: number): Promise<void>;
  close(): Promise<void>;
}

/** A file that is open for reading. */
export interface ReadableFile {
  readonly sizeBytes: number;
  /** Returns `length` bytes from `position` on, fewer at the end of the file. */
  read(position: number, length: number): Promise<Uint8Array>;
  close(): Promise<void>;
}

/** The file operations that the store uses. Tests replace them to inject failures. */
export interface FileSystem {
  makeFolder(folder: string): Promise<void>;
  list(folder: string): Promise<string[]>;
  read(file: string): Promise<Uint8Array>;
  openForRead(file: string): Promise<ReadableFile>;
  /** `create` fails when the file exists; `update` fails when it does not. */
  open(file: string, mode: 'create' | 'update'): Promise<StoreFile>;
  rename(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Makes the creation, renaming and removal of files in the folder durable. */
  syncFolder(folder: string): Promise<void>;
}

export const nodeFileSystem: FileSystem = {
  makeFolder: async (folder) => {
    await fs.mkdir(folder, {recursive: true, mode: 0o700});
  },
  list: (folder) => fs.readdir(folder),
  read: (file) => fs.readFile(file),
  openForRead: async (file) => readableFile(await fs.open(file, constants.O_RDONLY)),
  open: async (file, mode) => {
    const flags =
      mode === 'create'
        ? constants.O_RDWR | constants.O_CREAT | constants.O_EXCL
        : constants.O_RDWR;
    return storeFile(await fs.open(file, flags, 0o600));
  },
  rename: (from, to) => fs.rename(from, to),
  remove: (file) => fs.unlink(file),
  syncFolder: async (folder) => {
    const handle = await fs.open(folder, constants.O_RDONLY);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};

async function readableFile(handle: fs.FileHandle): Promise<ReadableFile> {
  const {size: sizeBytes} = await handle.stat();
  return {
    sizeBytes,
    read: async (position, length) => {
      const bytes = Buffer.allocUnsafe(Math.min(length, Math.max(0, sizeBytes - position)));
      let filled = 0;
      while (filled < bytes.length) {
        const {bytesRead} = await handle.read(
          bytes,
          filled,
          bytes.length - filled,
          position + filled,
        );
        if (bytesRead === 0) break;
        filled += bytesRead;
      }
      return bytes.subarray(0, filled);
    },
    close: () => handle.close(),
  };
}

function storeFile(handle: fs.FileHandle): StoreFile {
  return {
    write: async (bytes, position) => {
      // On a nearly full disk a write may write fewer bytes without an error.
      for (let written = 0; written < bytes.length;) {
        const step = await handle.write(bytes, written, bytes.length - written, position + written);
        written += step.bytesWritten;
      }
    },
    sync: () => handle.sync(),
    truncate: (sizeBytes) => handle.truncate(sizeBytes),
    close: () => handle.close(),
  };
}

/** Writes a file atomically: it gets its name only once its contents are complete and durable. */
export async function writeFileDurably(
  files: FileSystem,
  target: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporary = `${target}${TEMPORARY_SUFFIX}`;
  const folder = path.dirname(target);
  if ((await files.list(folder)).includes(path.basename(temporary))) await files.remove(temporary);
  const file = await files.open(temporary, 'create');
  try {
    await file.write(bytes, 0);
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporary, target);
  await files.syncFolder(folder);
}

export const TEMPORARY_SUFFIX = '.tmp';
