/** The check of the rule OWNER: keys that two servers hold at the same time. */

/** Longest time for which two servers may hold the same keys. */
const MAX_SHARED_MS = 500;
const SAMPLE_MS = 10;

/** Looks for keys that two servers hold at the same time. */
export function watchSharedKeys(servers, record) {
  const breaks = [];
  const sinceMs = new Map();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    for (const [index, a] of servers.entries()) {
      for (const b of servers.slice(index + 1)) {
        const pair = `${a.id} and ${b.id}`;
        const keys = sharedKeys(a, b, nowMs);
        if (!keys) {
          if (sinceMs.has(pair)) record('check', pair, 'no longer share keys');
          sinceMs.delete(pair);
          continue;
        }
        const since = sinceMs.get(pair) ?? {atMs: nowMs, isReported: false};
        if (!sinceMs.has(pair)) record('check', pair, 'both hold', keys);
        sinceMs.set(pair, since);
        if (since.isReported || nowMs - since.atMs <= MAX_SHARED_MS) continue;
        since.isReported = true;
        breaks.push(`OWNER: ${pair} hold the same keys (${keys}) for over ${MAX_SHARED_MS} ms`);
      }
    }
  }, SAMPLE_MS);
  return {breaks, stop: () => clearInterval(timer)};
}

function sharedKeys(a, b, nowMs) {
  if (nowMs >= a.holdUntilMs || nowMs >= b.holdUntilMs) return undefined;
  for (const [from, to, fence] of a.holds) {
    for (const [otherFrom, otherTo, otherFence] of b.holds) {
      if (from > otherTo || otherFrom > to) continue;
      const keys = `${Math.max(from, otherFrom)} to ${Math.min(to, otherTo)}`;
      return `${keys}, tokens ${fence} and ${otherFence}`;
    }
  }
  return undefined;
}
