import {rangeRps, type LoadModel} from './loadModel.js';

/** Minimum fair load relative to the mean load, so that a service with all load in hot keys does not balance rounding errors. */
const MIN_FAIR_LOAD_FRACTION = 0.001;

/**
 * Computes the load that each server should have. A key hotter than the mean cannot be split and fills
 * one server alone; the other servers share the remaining load equally, which is the fair load.
 */
export function computeFairLoad(
  model: LoadModel,
  eligible: readonly number[],
): {fairLoad: number; desiredLoads: Float64Array} {
  const total = model.serverRps.reduce((sum, load) => sum + load, 0);
  const desiredLoads = new Float64Array(model.servers.length);
  const mean = total / eligible.length;
  let fairLoad = mean;
  let dedicatedServerCount = 0;
  let dedicatedRps = 0;
  for (const {loadRps, server} of hottestFirst(model)) {
    if (loadRps <= fairLoad || dedicatedServerCount + 1 >= eligible.length) break;
    dedicatedServerCount++;
    dedicatedRps += loadRps;
    fairLoad = (total - dedicatedRps) / (eligible.length - dedicatedServerCount);
    fairLoad = Math.max(fairLoad, MIN_FAIR_LOAD_FRACTION * mean);
    desiredLoads[server] ||= loadRps;
  }
  for (const [server, load] of desiredLoads.entries())
    desiredLoads[server] = Math.max(load, fairLoad);
  return {fairLoad, desiredLoads};
}

function hottestFirst(model: LoadModel): Array<{loadRps: number; server: number}> {
  const keys: Array<{loadRps: number; server: number}> = [];
  const add = (rangeIndex: number, loadRps: number): void => {
    const server = model.serverOfRange[rangeIndex]!;
    if (server >= 0) keys.push({loadRps, server});
  };
  for (let i = 0; i < model.widths.length; i++) {
    if (model.widths[i] === 1) add(i, rangeRps(model, i));
  }
  for (const [i, hotKeys] of model.hotKeysOfRange) {
    if (model.widths[i] !== 1) for (const {rateRps} of hotKeys) add(i, rateRps);
  }
  return keys.sort((a, b) => b.loadRps - a.loadRps || a.server - b.server);
}
