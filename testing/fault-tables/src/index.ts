export {
  documentOf,
  KEYS,
  leaderIndex,
  ownerOf,
  SERVICE,
  startScenario,
  waitUntilSpread,
} from './scenario.js';
export type {Scenario, ScenarioOptions, Server} from './scenario.js';
export {runFaultTable, SETTLE_MS} from './runFaultTable.js';
export type {FaultRow} from './runFaultTable.js';
export {startCallerScenario} from './startCallerScenario.js';
export type {CallerScenario} from './startCallerScenario.js';
