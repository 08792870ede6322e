import path from 'node:path';
import type {FileSystem, ReadableFile, StoreFile} from '@medlarlane/log-store';

interface MemoryFile {
  contents: Buffer;
  synced: Buffer;
}

/** In-memory files that can lose unsynced data, as in a power failure. */
export class MemoryFiles implements FileSystem {
  /** Number of operations that changed files. */
  changes = 0;
  /** Number of the change from which on all changes fail. */
  crashAtChange = Infinity;
  /** Size of the largest part of a file that was read at once. */
  largestReadBytes = 0;
  private names = new Map<string, MemoryFile>();
  private syncedNames = new Map<string, MemoryFile>();

  async makeFolder(): Promise<void> {}

  async list(): Promise<string[]> {
    return [...this.names.keys()];
  }

  async read(file: string): Promise<Uint8Array> {
    const contents = Buffer.from(this.get(file).contents);
    this.largestReadBytes = Math.max(this.largestReadBytes, contents.length);
    return contents;
  }

  async openForRead(file: string): Promise<ReadableFile> {
    const contents = Buffer.from(this.get(file).contents);
    return {
      sizeBytes: contents.length,
      read: async (position, length) => {
        this.largestReadBytes = Math.max(this.largestReadBytes, length);
        return contents.subarray(position, position + length);
      },
      close: async () => undefined,
    };
  }

  async open(file: string, mode: 'create' | 'update'): Promise<StoreFile> {
    if (mode === 'create') {
      this.change();
      this.names.set(path.basename(file), {contents: Buffer.alloc(0), synced: Buffer.alloc(0)});
    }
    const opened = this.get(file);
    return {
      write: async (bytes, position) => {
        this.change();
        const end = Math.max(opened.contents.length, position + bytes.length);
        const contents = Buffer.alloc(end);
        opened.contents.copy(contents);
        contents.set(bytes, position);
        opened.contents = contents;
      },
      sync: async () => {
        this.change();
        opened.synced = opened.contents;
      },
      truncate: async (sizeBytes) => {
        this.change();
        opened.contents = opened.contents.subarray(0, sizeBytes);
      },
      close: async () => undefined,
    };
  }

  async rename(from: string, to: string): Promise<void> {
    this.change();
    this.names.set(path.basename(to), this.get(from));
    this.names.delete(path.basename(from));
  }

  async remove(file: string): Promise<void> {
    this.change();
    this.names.delete(path.basename(file));
  }

  async syncFolder(): Promise<void> {
    this.change();
    this.syncedNames = new Map(this.names);
  }

  /** Returns the files after a crash: with all changes, or only with the synced ones. */
  afterCrash(kept: 'all' | 'synced'): MemoryFiles {
    const files = new MemoryFiles();
    const names = kept === 'all' ? this.names : this.syncedNames;
    for (const [name, {contents, synced}] of names) {
      files.put(name, kept === 'all' ? contents : synced);
    }
    return files;
  }

  put(name: string, contents: Buffer): void {
    this.names.set(name, {contents, synced: contents});
    this.syncedNames = new Map(this.names);
  }

  /** Names of the files that are not lock files. */
  dataNames(): string[] {
    return [...this.names.keys()].filter((name) => !name.startsWith('lock-'));
  }

  get(file: string): MemoryFile {
    const found = this.names.get(path.basename(file));
    if (!found) throw new Error(`ENOENT: ${file}`);
    return found;
  }

  private change(): void {
    this.changes++;
    if (this.changes >= this.crashAtChange) throw new Error('EIO: crashed');
  }
}
