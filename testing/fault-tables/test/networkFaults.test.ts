import {setTimeout as delay} from 'node:timers/promises';
import {leaderIndex, runFaultTable, SETTLE_MS} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'the control leader is cut off in both directions and returns',
    strike: async (scenario, network) => {
      const leader = await leaderIndex(scenario);
      network.isolate(leader);
      await delay(SETTLE_MS);
      network.reconnect(leader);
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader can send to nobody but still receives',
    strike: async (scenario, network) => {
      const leader = await leaderIndex(scenario);
      const others = [0, 1, 2].filter((index) => index !== leader);
      for (const other of ['daemons' as const, ...others]) network.cut(leader, other);
      await delay(SETTLE_MS);
      for (const other of ['daemons' as const, ...others]) network.restore(leader, other);
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
]);
