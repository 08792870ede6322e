import {MedlarlaneError} from '@medlarlane/errors';

/** Memory that an upload occupies until it is released. */
export interface UploadReservation {
  /** Raises the expected size of the body, for bodies without a stated length. @throws MedlarlaneError `OVERLOADED`. */
  grow(bodyBytes: number): void;
  release(): void;
}

export interface UploadMemoryOptions {
  /** Memory of the process; `undefined` if it is not limited. */
  readonly processBytes?: number | undefined;
  /** Bytes that the process holds for other purposes. */
  readonly heldBytes: () => number;
}

/** Smaller bodies are counted like responses. */
export const MIN_RESERVED_BODY_BYTES = 65_536;
const DEFAULT_PROCESS_BYTES = 512 * 1024 * 1024;
/** Without large bodies a daemon uses 80 MB of the 250 MB that the smallest instances have. */
const UPLOAD_FRACTION = 0.55;
/** A body is held as received, as encoded for or decoded from a peer connection, and until garbage is collected. */
const COPIES = 3;
/** Large uploads take about a second on the links of the known deployments. */
const RETRY_AFTER_MS = 1_000;

/** Bounds the memory for large request bodies: what does not fit is refused before it is read. */
export class UploadMemory {
  private reservedBytes = 0;
  private readonly limitBytes: number;

  constructor(private readonly opts: UploadMemoryOptions) {
    this.limitBytes = (opts.processBytes ?? DEFAULT_PROCESS_BYTES) * UPLOAD_FRACTION;
  }

  /** Bytes that are reserved for uploads. */
  get usedBytes(): number {
    return this.reservedBytes;
  }

  /** @throws MedlarlaneError `OVERLOADED` with ran `no` when the body does not fit. */
  reserve(bodyBytes: number): UploadReservation {
    let ownBytes = 0;
    const grow = (nextBodyBytes: number): void => {
      const addedBytes = nextBodyBytes * COPIES - ownBytes;
      if (addedBytes <= 0) return;
      this.assertFits(addedBytes);
      this.reservedBytes += addedBytes;
      ownBytes += addedBytes;
    };
    grow(bodyBytes);
    return {
      grow,
      release: () => {
        this.reservedBytes -= ownBytes;
        ownBytes = 0;
      },
    };
  }

  private assertFits(addedBytes: number): void {
    if (this.reservedBytes + this.opts.heldBytes() + addedBytes <= this.limitBytes) return;
    throw new MedlarlaneError('OVERLOADED', 'Daemon has no memory for the body of the request', {
      ran: 'no',
      details: {retryAfterMs: RETRY_AFTER_MS},
    });
  }
}
