import type {Route, SiteConfiguration} from './siteConfiguration.js';

/** Longest route timeout that the platform allows operators to set. */
const MAX_TIMEOUT_MS = 600_000;

/** Returns the reason why a configuration is invalid, or `undefined` when it is valid. */
export function validateConfiguration(configuration: SiteConfiguration): string | undefined {
  const serviceNames = new Set(configuration.services.map(({name}) => name));
  if (serviceNames.size < configuration.services.length) return 'two services have one name';
  const routeNames = new Set<string>();
  const usedPrefixes = new Set<string>();
  for (const route of configuration.routes) {
    if (routeNames.has(route.name)) return `two routes are named ${route.name}`;
    routeNames.add(route.name);
    const hostAndPrefix = `${route.host} ${route.pathPrefix}`;
    if (usedPrefixes.has(hostAndPrefix)) return `two routes serve ${hostAndPrefix}`;
    usedPrefixes.add(hostAndPrefix);
    const reason = validateRoute(route, serviceNames);
    if (reason) return `route ${route.name}: ${reason}`;
  }
  return undefined;
}

function validateRoute(route: Route, serviceNames: ReadonlySet<string>): string | undefined {
  if (route.host === '') return 'host is empty';
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return 'path prefix lacks a slash at its start or end';
  }
  if (!(route.timeoutMs > 0)) return 'timeout is not above 0';
  if (route.timeoutMs > MAX_TIMEOUT_MS) return `timeout is over ${MAX_TIMEOUT_MS} ms`;
  if (route.shares.some(({weight}) => !(weight >= 0))) return 'a weight is below 0';
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0)) return 'weights add up to 0';
  const unknown = route.shares.find(({service}) => !serviceNames.has(service));
  return unknown && `service ${unknown.service} is unknown`;
}
