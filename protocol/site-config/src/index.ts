export {validateConfiguration} from './checkConfiguration.js';
export {applyConfigurationChange} from './patchConfiguration.js';
export {RouteTable} from './routeTable.js';
export {
  configurationChangeSchema,
  limitsSchema,
  INITIAL_CONFIGURATION,
  routeSchema,
  serviceSchema,
  siteConfigurationSchema,
} from './siteConfiguration.js';
export type {
  ConfigurationChange,
  RequestKind,
  RequestLimits,
  Route,
  WeightedService,
  SiteConfiguration,
  SiteService,
} from './siteConfiguration.js';
