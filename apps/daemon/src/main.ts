#!/usr/bin/env node
import {toMedlarlaneError} from '@medlarlane/errors';
import {createComponentLogger} from '@medlarlane/logger';
import {maskSettings, parseSettings, settingsHelp} from '@medlarlane/settings';
import type {DaemonSettings} from '@medlarlane/settings';
import {startDaemon} from './startDaemon.js';

const VERSION = '0.1.0';
const INVALID_SETTINGS_EXIT_CODE = 2;

const argv = process.argv.slice(2);
if (argv.includes('--help')) process.stdout.write(settingsHelp());
else if (argv.includes('--version')) process.stdout.write(`medlarlaned ${VERSION}\n`);
else await run();

async function run(): Promise<void> {
  const settings = readSettings();
  if (!settings) return;
  if (settings.printSettings) {
    process.stdout.write(`${JSON.stringify(maskSettings(settings), null, 2)}\n`);
    return;
  }
  try {
    const daemon = await startDaemon(settings);
    const logger = createComponentLogger('daemon', daemon.logger);
    let isStopping = false;
    const onSignal = (signal: string): void => {
      if (isStopping) process.exit(1);
      isStopping = true;
      logger.info({signal}, 'Stopping');
      daemon.stop().then(
        () => process.exit(0),
        (failure: unknown) => {
          logger.error({err: failure}, 'Stop failed');
          process.exit(1);
        },
      );
    };
    process.on('SIGTERM', onSignal).on('SIGINT', onSignal);
    // The parent process reads the addresses from this line.
    process.stdout.write(`${JSON.stringify(daemon.addresses)}\n`);
  } catch (thrown) {
    const error = toMedlarlaneError(thrown);
    process.stderr.write(`${error.code}: ${error.message}\n${error.errorKind.nextStep}\n`);
    process.exit(error.errorKind.exitCode);
  }
}

function readSettings(): DaemonSettings | undefined {
  try {
    return parseSettings(argv, process.env);
  } catch (thrown) {
    process.stderr.write(`${toMedlarlaneError(thrown).message}\n`);
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
    return undefined;
  }
}
