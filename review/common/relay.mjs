/** A link between a daemon and a machine of the core, on which packets can be lost. */
import net from 'node:net';

/**
 * Starts a relay. `loseNextPacket(delayMs)` makes the next bytes to the server, and what follows them
 * on their connection, arrive later by the time of their retransmission; other connections go on.
 */
export async function startRelay({host, port, toHost, toPort}) {
  const sockets = new Set();
  let armed;
  const server = net.createServer((client) => {
    const upstream = net.connect({host: toHost, port: toPort});
    sockets.add(client).add(upstream);
    let held;
    const forward = (bytes) => upstream.write(bytes);
    client.on('data', (bytes) => {
      if (held) return held.push(bytes);
      if (!armed) return forward(bytes);
      const {delayMs, onLost} = armed;
      armed = undefined;
      held = [bytes];
      setTimeout(() => {
        const late = held;
        held = undefined;
        late.forEach(forward);
      }, delayMs);
      onLost(performance.now());
    });
    upstream.on('data', (bytes) => client.write(bytes));
    for (const [socket, other] of [
      [client, upstream],
      [upstream, client],
    ]) {
      socket.on('error', () => undefined);
      // Bytes that are on their way still arrive when the sender has closed its connection.
      socket.on('close', () => {
        sockets.delete(socket);
        if (held) setTimeout(() => other.end(), 2_000);
        else other.end();
      });
    }
  });
  await new Promise((resolve) => server.listen(port, host, resolve));
  return {
    loseNextPacket: (delayMs) => new Promise((resolve) => (armed = {delayMs, onLost: resolve})),
    disarm: () => (armed = undefined),
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
