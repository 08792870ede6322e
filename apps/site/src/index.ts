export {HealthChecks} from './healthChecks.js';
export type {HealthCheckReason, HealthChecksOptions} from './healthChecks.js';
export {startSiteControl} from './startSiteControl.js';
export type {SiteControlProcess, SiteControlProcessOptions} from './startSiteControl.js';
export {superviseSiteControl} from './superviseSiteControl.js';
export type {SupervisedSiteControl, SuperviseSiteControlOptions} from './superviseSiteControl.js';
export {startSiteDaemon} from './startSiteDaemon.js';
export type {Endpoint, SiteDaemon, SiteDaemonOptions} from './startSiteDaemon.js';
export {ConfigurationService} from './configurationService.js';
