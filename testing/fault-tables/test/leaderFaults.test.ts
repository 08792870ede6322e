import {setTimeout as delay} from 'node:timers/promises';
import {findLeaderIndex, runFaultTable, SETTLE_MS} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'the control leader is killed',
    injectFault: async (scenario) => {
      scenario.cluster.replicas[await findLeaderIndex(scenario)]!.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader is frozen until all leases have expired and is resumed',
    injectFault: async (scenario) => {
      const leader = scenario.cluster.replicas[await findLeaderIndex(scenario)]!;
      leader.kill('SIGSTOP');
      await delay(SETTLE_MS);
      leader.kill('SIGCONT');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader and an owner are killed together',
    injectFault: async (scenario) => {
      scenario.cluster.replicas[await findLeaderIndex(scenario)]!.kill('SIGKILL');
      scenario.servers[1]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 2,
  },
]);
