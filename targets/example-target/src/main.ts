import {defineCommand, runMain} from 'citty';
import {z} from 'zod';
import {createLogger} from '@medlarlane/logger';
import {hostPortSchema, serviceNameSchema} from '@medlarlane/model';
import {startExampleTarget} from './startExampleTarget.js';

const flagsSchema = z.object({
  port: z.coerce.number().int().min(0).max(65_535),
  daemon: hostPortSchema.optional(),
  service: serviceNameSchema,
  slots: z.coerce.number().int().min(1),
  'delay-ms': z.coerce.number().min(0),
  'probe-delay-ms': z.coerce.number().min(0),
  'drain-ms': z.coerce.number().min(0),
  'checks-grants': z.boolean(),
  'allow-faults': z.boolean(),
  name: z.string().min(1),
});

const command = defineCommand({
  meta: {name: 'example-target', description: 'A small target for the demo and tests.'},
  args: {
    port: {type: 'string', default: '0', description: 'Port on 127.0.0.1; 0 for any free port'},
    daemon: {type: 'string', description: '<ip>:<port> of the target listener of its daemon'},
    service: {type: 'string', required: true, description: '<team>/<service>'},
    slots: {type: 'string', default: '18', description: 'Requests that run at the same time'},
    'delay-ms': {type: 'string', default: '0', description: 'Duration of each request'},
    'probe-delay-ms': {type: 'string', default: '0', description: 'Delay of health answers'},
    'drain-ms': {type: 'string', default: '30000', description: 'Longest wait of a stop'},
    'checks-grants': {type: 'boolean', default: false, description: 'Refuse work without a grant'},
    'allow-faults': {type: 'boolean', default: false, description: 'Obey medlarlane-fault headers'},
    name: {type: 'string', default: 'example', description: 'Name in answers and logs'},
  },
  run: async ({args}) => {
    const flags = flagsSchema.safeParse(args);
    if (!flags.success) {
      process.stderr.write(`${z.prettifyError(flags.error)}\n`);
      process.exitCode = 2;
      return;
    }
    const {name, service, daemon, port, slots} = flags.data;
    const target = await startExampleTarget({
      service,
      name,
      port,
      slots,
      delayMs: flags.data['delay-ms'],
      probeDelayMs: flags.data['probe-delay-ms'],
      drainMs: flags.data['drain-ms'],
      checksGrants: flags.data['checks-grants'],
      allowFaults: flags.data['allow-faults'],
      logger: createLogger({bindings: {name}}),
      ...(daemon === undefined ? {} : {daemon}),
    });
    // The parent process reads the port from this line.
    process.stdout.write(`${JSON.stringify({listening: target.address, name, service})}\n`);
    const stop = (): void => void target.stop();
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  },
});

await runMain(command);
