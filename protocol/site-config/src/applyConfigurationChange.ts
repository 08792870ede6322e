import type {ConfigurationChange, SiteConfiguration} from './siteConfiguration.js';

/** Returns the configuration that results from applying a change to `current`. */
export function applyConfigurationChange(
  current: SiteConfiguration,
  {version, change}: ConfigurationChange,
): SiteConfiguration {
  if (change.kind === 'replace') return {...change.configuration, version};
  return {
    version,
    routes: upsert(current.routes, change.upsertRoutes, change.removeRoutes),
    services: upsert(current.services, change.upsertServices, change.removeServices),
    limits: change.limits ?? current.limits,
  };
}

/** Replaces items with the same name in place, appends new items and drops removed ones. */
function upsert<T extends {name: string}>(
  current: readonly T[],
  items: readonly T[],
  removed: readonly string[],
): T[] {
  const byName = new Map(current.map((item) => [item.name, item]));
  for (const item of items) byName.set(item.name, item);
  for (const name of removed) byName.delete(name);
  return [...byName.values()];
}
