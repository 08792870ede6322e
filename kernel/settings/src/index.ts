export {formatHostPort, isLoopback, isUnspecified, parseHostPort} from './hostPort.js';
export type {HostPort} from './hostPort.js';
export {maskSettings} from './maskSettings.js';
export {advertisedAddress, parseSettings} from './parseSettings.js';
export type {SettingsProblem} from './parseSettings.js';
export {settingsHelp} from './settingsHelp.js';
export {flagNameOf, SETTINGS, environmentVariableOf} from './settingTable.js';
export type {ControlReplicaAddress, DaemonSettings, Setting, SettingField} from './settingTable.js';
