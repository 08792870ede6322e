import {Client} from 'undici';
import type {buildConnector, Dispatcher} from 'undici';
import {isDelimitedByEnd, isFinalStatus, trackConnectionEnd} from '@medlarlane/rpc';
import type {ConnectionEnd} from '@medlarlane/rpc';

const MIN_STATUS = 100;
const MIN_FINAL_STATUS = 200;

/**
 * Creates a client for the `factory` of an undici pool. It fails a response with an invalid status, and one without
 * a length whose connection does not end in order: undici takes a reset for the end of such a body.
 */
export function createStrictClient(origin: URL, opts: object): Client {
  const {connect, ...rest} = opts as {connect: buildConnector.connector};
  let connectionEnd: () => ConnectionEnd = () => 'open';
  const client = new Client(origin, {
    ...rest,
    connect: (target, callback) =>
      connect(target, (...result) => {
        const [, socket] = result;
        if (socket) connectionEnd = trackConnectionEnd(socket);
        callback(...result);
      }),
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) =>
    dispatch(request, new StrictHandler(request.method, handler, () => connectionEnd()));
  return client;
}

/** Checks what the handler of a pool is called with; pools use the older methods of undici's handlers. */
class StrictHandler implements Dispatcher.DispatchHandler {
  private abort: (failure?: Error) => void = () => undefined;
  private isUnframed = false;

  constructor(
    private readonly method: string,
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly connectionEnd: () => ConnectionEnd,
  ) {}

  onConnect(...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onConnect']>>): void {
    [this.abort] = args;
    this.handler.onConnect?.(...args);
  }

  onResponseStarted(): void {
    this.handler.onResponseStarted?.();
  }

  onUpgrade(...args: Parameters<NonNullable<Dispatcher.DispatchHandler['onUpgrade']>>): void {
    this.handler.onUpgrade?.(...args);
  }

  onHeaders(status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
    const isInterim = status >= MIN_STATUS && status < MIN_FINAL_STATUS;
    if (!isInterim && !isFinalStatus(status)) {
      this.abort(new Error(`Response has the invalid status ${status}`));
      return false;
    }
    this.isUnframed = isDelimitedByEnd({
      method: this.method,
      status,
      contentLength: findHeader(rawHeaders, 'content-length'),
      transferEncoding: findHeader(rawHeaders, 'transfer-encoding'),
    });
    return this.handler.onHeaders?.(status, rawHeaders, resume, statusText) ?? true;
  }

  onData(chunk: Buffer): boolean {
    return this.handler.onData?.(chunk) ?? true;
  }

  onComplete(trailers: string[] | null): void {
    if (this.isUnframed && this.connectionEnd() !== 'orderly')
      this.onError(new Error('Connection failed before the end of a body without a length'));
    else this.handler.onComplete?.(trailers);
  }

  onError(failure: Error): void {
    this.handler.onError?.(failure);
  }
}

/** Returns the values of a header, joined; names and values alternate in `rawHeaders`. */
function findHeader(rawHeaders: readonly Buffer[], name: string): string | undefined {
  const values = rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1]!.toString('latin1').toLowerCase() === name,
  );
  return values.length === 0
    ? undefined
    : values.map((value) => value.toString('latin1')).join(',');
}
