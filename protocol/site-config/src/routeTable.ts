import type {Route, SiteConfiguration} from './siteConfiguration.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(configuration: SiteConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** `host` may include a port; `path` may include a query string. */
  find(host: string, path: string): Route | undefined {
    const routes = this.byHost.get(hostName(host));
    if (!routes) return undefined;
    const query = path.indexOf('?');
    const plainPath = query < 0 ? path : path.slice(0, query);
    return routes.find(({pathPrefix}) => plainPath.startsWith(pathPrefix));
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
