/**
 * Writes docs/operations/errors.md from the table of error kinds (after a build).
 * With `--check` it writes nothing and exits 1 when the file is out of date.
 */
import {ERROR_KINDS} from '@medlarlane/errors';
import {writeGenerated} from './writeGenerated.mjs';

const EXIT_CODES = {
  0: 'The command succeeded',
  1: 'Internal error',
  2: 'The input is wrong: flags, document or request',
  3: 'The request conflicts with the current state',
  4: 'The named thing does not exist',
  5: 'The request is not authorised',
  6: 'Not possible now; nothing was changed',
  7: 'The outcome is unknown or late',
  8: 'The data folder of a replica cannot be used',
  130: 'The command was interrupted',
};

const codes = Object.entries(ERROR_KINDS);
const rows = codes.map(
  ([code, {title, ran, status, exitCode, nextStep}]) =>
    `| \`${code}\` | ${title} | ${ran} | ${status} | ${exitCode} | ${nextStep} |`,
);
const undescribed = codes.filter(([, {exitCode}]) => !(exitCode in EXIT_CODES));
if (undescribed.length > 0)
  throw new Error(`Exit codes without description: ${undescribed.join(' ')}`);

const text = `# Errors

Generated from \`ERROR_KINDS\` in \`kernel/errors\`; do not edit by hand.

Refusals to callers and operators are \`application/problem+json\` with the fields \`code\`, \`ran\` and
\`nextStep\`. **Ran** \`no\` promises that the request was not run; \`unknown\` promises nothing.

| Code | Meaning | Ran | HTTP status | Exit code | Next step |
| --- | --- | --- | --- | --- | --- |
${rows.join('\n')}

## Exit codes of the command-line tool

| Exit code | Meaning |
| --- | --- |
${Object.entries(EXIT_CODES)
  .map(([exitCode, meaning]) => `| ${exitCode} | ${meaning} |`)
  .join('\n')}
`;

await writeGenerated('docs/operations/errors.md', text, {
  parser: 'markdown',
  command: 'npm run docs:generate',
});
