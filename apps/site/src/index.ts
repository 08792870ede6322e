export {startSiteControl} from './startSiteControl.js';
export type {SiteControlProcess, SiteControlProcessOptions} from './startSiteControl.js';
export {keepSiteControl} from './keepSiteControl.js';
export type {KeepSiteControlOptions, KeptSiteControl} from './keepSiteControl.js';
export {startSiteDaemon} from './startSiteDaemon.js';
export type {Endpoint, SiteDaemon, SiteDaemonOptions} from './startSiteDaemon.js';
export {OperatorDesk} from './operatorDesk.js';
