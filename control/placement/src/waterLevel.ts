import {rangeRps, type LoadModel} from './loadModel.js';

/** Least level, relative to the mean load; without it, a service whose load is all in hot keys would balance rounding errors. */
const MIN_LEVEL_SHARE = 0.001;

/**
 * The load that each server should have. A key hotter than the mean cannot be split: it fills one
 * server alone, and the other servers share the remaining load, the level.
 */
export function waterLevel(
  model: LoadModel,
  eligible: readonly number[],
): {level: number; capacity: Float64Array} {
  const total = model.serverRps.reduce((sum, load) => sum + load, 0);
  const capacity = new Float64Array(model.servers.length);
  const mean = total / eligible.length;
  let level = mean;
  let pinned = 0;
  let pinnedRps = 0;
  for (const {loadRps, server} of hottestFirst(model)) {
    if (loadRps <= level || pinned + 1 >= eligible.length) break;
    pinned++;
    pinnedRps += loadRps;
    level = (total - pinnedRps) / (eligible.length - pinned);
    level = Math.max(level, MIN_LEVEL_SHARE * mean);
    capacity[server] ||= loadRps;
  }
  for (const [server, load] of capacity.entries()) capacity[server] = Math.max(load, level);
  return {level, capacity};
}

function hottestFirst(model: LoadModel): Array<{loadRps: number; server: number}> {
  const keys: Array<{loadRps: number; server: number}> = [];
  const add = (rangeIndex: number, loadRps: number): void => {
    const server = model.serverOfRange[rangeIndex]!;
    if (server >= 0) keys.push({loadRps, server});
  };
  for (let at = 0; at < model.widths.length; at++) {
    if (model.widths[at] === 1) add(at, rangeRps(model, at));
  }
  for (const [at, hotKeys] of model.hotKeysOfRange) {
    if (model.widths[at] !== 1) for (const {rateRps} of hotKeys) add(at, rateRps);
  }
  return keys.sort((a, b) => b.loadRps - a.loadRps || a.server - b.server);
}
