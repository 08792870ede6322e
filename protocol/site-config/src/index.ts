export {checkConfiguration} from './checkConfiguration.js';
export {patchConfiguration} from './patchConfiguration.js';
export {RouteTable} from './routeTable.js';
export {
  configurationChangeSchema,
  limitsSchema,
  NO_CONFIGURATION,
  routeSchema,
  serviceSchema,
  siteConfigurationSchema,
} from './siteConfiguration.js';
export type {
  ConfigurationChange,
  RequestKind,
  RequestLimits,
  Route,
  RouteShare,
  SiteConfiguration,
  SiteService,
} from './siteConfiguration.js';
