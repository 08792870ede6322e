import {configInForceBench} from './configInForceBench.js';
import {failoverBenches} from './failoverBench.js';
import {moveGapBench} from './moveGapBench.js';
import {churn} from './churn.js';
import {commitBench} from './commitBench.js';
import {controlCost} from './controlCost.js';
import {dedupeCostBench} from './dedupeCostBench.js';
import type {Bench} from './figure.js';
import {hotKeySettle} from './hotKeySettle.js';
import {imbalance} from './imbalance.js';
import {messageSize} from './messageSize.js';
import {planCost} from './planCost.js';
import {queueOrderBench} from './queueOrderBench.js';
import {relayLatencyBench, relayThroughputBench} from './relayBench.js';
import {responseStreamBench} from './responseStreamBench.js';
import {restartRecoveryBench} from './restartRecoveryBench.js';
import {stateMemory} from './stateMemory.js';

/** All benches by name. */
export const registry: Readonly<Record<string, Bench>> = {
  imbalance: {
    kind: 'count',
    description: 'Load of the most loaded server over the mean, with and without placement',
    run: imbalance,
  },
  churn: {
    kind: 'count',
    description: 'Share of positions moved, in steady state and per server that joins or leaves',
    run: churn,
  },
  'hot-key-settle': {
    kind: 'count',
    description: 'Planning rounds until the load is even again after the hot keys change',
    run: hotKeySettle,
  },
  commit: {
    kind: 'timed',
    description: 'Commit time and commits per second of three replicas on real files',
    run: () => commitBench(),
  },
  'restart-recovery': {
    kind: 'timed',
    description: 'Time to recover a log of 1,000 to 100,000 entries',
    run: () => restartRecoveryBench(),
  },
  'control-cost': {
    kind: 'slope',
    description: 'Traffic and processor time of leases, reports and changes per daemon',
    run: controlCost,
  },
  'dedupe-cost': {
    kind: 'timed',
    description: 'Time per request and bytes per record of at-most-once execution',
    run: dedupeCostBench,
  },
  'relay-throughput': {
    kind: 'timed',
    description: 'Requests per second of one and two daemons over those of bare relays',
    run: () => relayThroughputBench(),
  },
  'relay-latency': {
    kind: 'timed',
    description: 'Latency that one and two daemons add to that of bare relays',
    run: () => relayLatencyBench(),
  },
  'response-stream': {
    kind: 'timed',
    description: 'Time to first byte and held bytes of large responses, buffered and streamed',
    run: () => responseStreamBench(),
  },
  'queue-order': {
    kind: 'timed',
    description: 'Waits under first-come and under shortest-predicted-first order',
    run: queueOrderBench,
  },
  'plan-cost': {
    kind: 'slope',
    description: 'Time to plan the moves of one service of the design size',
    run: planCost,
  },
  'message-size': {
    kind: 'slope',
    description: 'Bytes of ranges, sessions, documents and changes in msgpack',
    run: messageSize,
  },
  'state-memory': {
    kind: 'slope',
    description: 'Heap bytes per range and per session in the control state',
    run: stateMemory,
  },
  ...failoverBenches,
  'move-gap': {
    kind: 'timed',
    description: 'Longest time a key is not served during a planned move',
    defaultTrials: 20,
    run: moveGapBench,
  },
  'config-in-force': {
    kind: 'timed',
    description: 'Time until an accepted document is in force in every daemon',
    defaultTrials: 20,
    run: configInForceBench,
  },
};
