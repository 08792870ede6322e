/** A minimal HTTP relay on `http` and `undici`: the baseline of the relay benches. */
import {createServer} from 'node:http';
import type {OutgoingHttpHeaders} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';

const CONNECTIONS = 64;

const pool = new Pool(`http://${process.argv[2]}`, {connections: CONNECTIONS});
const server = createServer((request, response) => {
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: () => undefined,
    onResponseStart: (_controller, status, headers) => {
      const relayedHeaders: OutgoingHttpHeaders = {...headers};
      delete relayedHeaders.connection;
      response.writeHead(status, relayedHeaders);
    },
    onResponseData: (_controller, chunk) => void response.write(chunk),
    onResponseEnd: () => void response.end(),
    onResponseError: () => void response.destroy(),
  };
  const headers = {...request.headers};
  delete headers.connection;
  pool.dispatch({method: 'GET', path: request.url ?? '/', headers, body: null}, handler);
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({address: `127.0.0.1:${port}`})}\n`);
});
