import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {describe, it} from 'node:test';

describe('A process that exits', () => {
  it('writes its last line to standard output', () => {
    const script = `
      import {createLogger} from '@medlarlane/logger';
      const logger = createLogger({destination: 'stdout'});
      logger.info('Stopped');
      process.exit(0);
    `;
    const output = execFileSync(process.execPath, ['--input-type=module', '-e', script], {
      cwd: import.meta.dirname,
      encoding: 'utf8',
    });
    assert.equal((JSON.parse(output) as {msg: string}).msg, 'Stopped');
  });
});
