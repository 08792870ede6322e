import type {Route, SiteConfiguration} from './siteConfiguration.js';

/** The platform's operators may not keep a caller waiting for longer. */
const MAX_TIMEOUT_MS = 600_000;

/** Returns why a configuration cannot be used, or `undefined` when it can. */
export function validateConfiguration(configuration: SiteConfiguration): string | undefined {
  const services = new Set(configuration.services.map(({name}) => name));
  if (services.size < configuration.services.length) return 'two services have one name';
  const names = new Set<string>();
  const places = new Set<string>();
  for (const route of configuration.routes) {
    if (names.has(route.name)) return `two routes are named ${route.name}`;
    names.add(route.name);
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) return `two routes serve ${place}`;
    places.add(place);
    const reason = checkRoute(route, services);
    if (reason) return `route ${route.name}: ${reason}`;
  }
  return undefined;
}

function checkRoute(route: Route, services: ReadonlySet<string>): string | undefined {
  if (route.host === '') return 'host is empty';
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return 'path prefix lacks a slash at its start or end';
  }
  if (!(route.timeoutMs > 0)) return 'timeout is not above 0';
  if (route.timeoutMs > MAX_TIMEOUT_MS) return `timeout is over ${MAX_TIMEOUT_MS} ms`;
  if (route.shares.some(({weight}) => !(weight >= 0))) return 'a weight is below 0';
  const total = route.shares.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0)) return 'weights add up to 0';
  const unknown = route.shares.find(({service}) => !services.has(service));
  return unknown && `service ${unknown.service} is unknown`;
}
