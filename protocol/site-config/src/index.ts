export {validateConfiguration} from './validateConfiguration.js';
export {applyConfigurationChange} from './applyConfigurationChange.js';
export {RouteTable} from './routeTable.js';
export {
  configurationChangeSchema,
  INITIAL_CONFIGURATION,
  isIdempotent,
  limitsSchema,
  routeSchema,
  serviceSchema,
  siteConfigurationSchema,
} from './siteConfiguration.js';
export type {
  ConfigurationChange,
  RequestKind,
  RequestLimits,
  Route,
  SiteConfiguration,
  SiteService,
  WarmUp,
  WeightedService,
} from './siteConfiguration.js';
