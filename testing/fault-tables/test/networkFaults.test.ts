import {setTimeout as delay} from 'node:timers/promises';
import {findLeaderIndex, runFaultTable, SETTLE_MS} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'the control leader is isolated in both directions and reconnected',
    injectFault: async (scenario, network) => {
      const leader = await findLeaderIndex(scenario);
      network.isolate(leader);
      await delay(SETTLE_MS);
      network.reconnect(leader);
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader receives messages but cannot send any',
    injectFault: async (scenario, network) => {
      const leader = await findLeaderIndex(scenario);
      const others = [0, 1, 2].filter((index) => index !== leader);
      for (const other of ['daemons' as const, ...others]) network.cut(leader, other);
      await delay(SETTLE_MS);
      for (const other of ['daemons' as const, ...others]) network.restore(leader, other);
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
]);
