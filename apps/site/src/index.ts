export {startSiteControl} from './startSiteControl.js';
export type {SiteControlProcess, SiteControlProcessOptions} from './startSiteControl.js';
export {superviseSiteControl} from './superviseSiteControl.js';
export type {SupervisedSiteControl, SuperviseSiteControlOptions} from './superviseSiteControl.js';
export {startSiteDaemon} from './startSiteDaemon.js';
export type {Endpoint, SiteDaemon, SiteDaemonOptions} from './startSiteDaemon.js';
export {ZoneEvacuation} from './zoneEvacuation.js';
export type {EvacuatedZones, ZoneEvacuationOptions} from './zoneEvacuation.js';
export {ConfigurationService} from './configurationService.js';
