import {flagNameOf, SETTINGS, environmentVariableOf} from './settingTable.js';
import type {Setting} from './settingTable.js';

/** Returns the help text of `medlarlaned`. */
export function settingsHelp(): string {
  const rows = Object.entries<Setting<unknown>>(SETTINGS).map(([field, row]) => {
    const value = row.isBooleanFlag ? '' : ` <${row.unit}>`;
    return [
      `  --${flagNameOf(field)}${value}`,
      `      ${row.description}`,
      `      Variable ${environmentVariableOf(field)}. Default: ${row.defaultDescription}.`,
    ].join('\n');
  });
  return [
    'medlarlaned: the daemon beside each target.',
    '',
    'Usage: medlarlaned [flags]',
    '',
    'A flag wins over its environment variable.',
    '',
    ...rows,
    '  --help',
    '      Prints this text and exits.',
    '',
  ].join('\n');
}
