import type {Route, SiteConfiguration} from './siteConfiguration.js';

/** Finds the route of a request: by host, then by the longest path prefix. */
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

  /** `host` may carry a port; `path` may carry a query. */
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
