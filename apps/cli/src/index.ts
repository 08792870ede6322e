export type {CliIo} from './cliIo.js';
export {runCli} from './runCli.js';
