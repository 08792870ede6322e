export {
  createDocument,
  KEYS,
  findLeaderIndex,
  findOwner,
  SERVICE,
  startScenario,
  waitUntilBalanced,
} from './scenario.js';
export type {Scenario, ScenarioOptions, Server} from './scenario.js';
export {runFaultTable, SETTLE_MS} from './runFaultTable.js';
export type {FaultRow} from './runFaultTable.js';
export {runRandomFaults} from './runRandomFaults.js';
export type {RandomFaultsOptions, RandomFaultsResult} from './runRandomFaults.js';
export {startCallerScenario} from './startCallerScenario.js';
export type {CallerScenario} from './startCallerScenario.js';
