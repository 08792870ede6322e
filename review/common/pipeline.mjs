/** A client that sends requests on one connection before the earlier ones are answered. */
import net from 'node:net';

/**
 * Opens a connection. `answers` holds what arrived, in order; `closed` resolves when the connection
 * ends.
 */
export function openPipeline({address, host}) {
  const [hostName, port] = address.split(':');
  const socket = net.connect({host: hostName, port: Number(port)});
  const answers = [];
  let bytes = Buffer.alloc(0);
  let onProgress = () => undefined;
  const parse = () => {
    for (;;) {
      const headEnd = bytes.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = bytes.subarray(0, headEnd).toString('latin1');
      const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
      const end = headEnd + 4 + length;
      if (bytes.length < end) return;
      answers.push({
        status: Number(head.slice(9, 12)),
        id: /^request-id: (.*)$/im.exec(head)?.[1],
        bodyBytes: length,
        atMs: performance.now(),
      });
      bytes = bytes.subarray(end);
    }
  };
  socket.on('data', (chunk) => {
    bytes = Buffer.concat([bytes, chunk]);
    parse();
    onProgress();
  });
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', () => resolve(performance.now())));
  return {
    answers,
    closed,
    get receivedBytes() {
      return bytes.length;
    },
    send: ({path, id, deadlineMs}) =>
      socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`,
      ),
    /** Resolves once the condition holds, the connection is closed or the time is over. */
    until: (condition, timeoutMs) =>
      new Promise((resolve) => {
        const timer = setTimeout(() => resolve(false), timeoutMs);
        const check = () => {
          if (!condition()) return;
          clearTimeout(timer);
          resolve(true);
        };
        onProgress = check;
        void closed.then(() => {
          clearTimeout(timer);
          resolve(condition());
        });
        check();
      }),
    close: () => socket.destroy(),
  };
}
