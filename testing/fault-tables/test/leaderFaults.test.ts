import {setTimeout as delay} from 'node:timers/promises';
import {leaderIndex, runFaultTable, SETTLE_MS} from '@medlarlane/fault-tables';

runFaultTable([
  {
    title: 'the control leader is killed',
    strike: async (scenario) => {
      scenario.cluster.replicas[await leaderIndex(scenario)]!.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader is frozen beyond all leases and resumed',
    strike: async (scenario) => {
      const leader = scenario.cluster.replicas[await leaderIndex(scenario)]!;
      leader.kill('SIGSTOP');
      await delay(SETTLE_MS);
      leader.kill('SIGCONT');
      await delay(SETTLE_MS);
    },
    survivors: 3,
  },
  {
    title: 'the control leader and an owner are killed together',
    strike: async (scenario) => {
      scenario.cluster.replicas[await leaderIndex(scenario)]!.kill('SIGKILL');
      scenario.servers[1]!.daemon.kill('SIGKILL');
      await delay(SETTLE_MS);
    },
    survivors: 2,
  },
]);
