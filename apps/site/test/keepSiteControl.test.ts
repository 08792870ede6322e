import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {keepSiteControl} from '@medlarlane/site';
import type {SiteControlProcess, SiteControlProcessOptions} from '@medlarlane/site';

const PAUSE_MS = 500;

describe('A control replica whose disk refuses writes', () => {
  it('starts again in the same process until the disk takes writes, and founds nothing anew', async () => {
    const {disk, starts, clock, keep} = startDisk();
    const control = await keep();
    disk.isFull = true;
    starts[0]!.onLogFailure(new MedlarlaneError('LOG_WRITE_FAILED'));
    await clock.advance(0);
    assert.equal(control.current, undefined);
    await assert.rejects(control.desk.readConfiguration(), {code: 'NO_LEADER'});
    await clock.advance(3 * PAUSE_MS);
    disk.isFull = false;
    await clock.advance(PAUSE_MS);
    assert.notEqual(control.current, undefined);
    assert.equal(disk.closed, 1);
    assert.deepEqual([starts[0]!.bootstrap, starts.at(-1)!.bootstrap], [true, false]);
  });

  it('waits for the disk at its first start too', async () => {
    const {disk, starts, clock, keep} = startDisk();
    disk.isFull = true;
    const starting = keep();
    await clock.advance(PAUSE_MS);
    disk.isFull = false;
    await clock.advance(PAUSE_MS);
    assert.notEqual((await starting).current, undefined);
    assert.ok(starts.every(({bootstrap}) => bootstrap));
  });

  it('does not start on a log that is damaged', async () => {
    const {disk, keep} = startDisk();
    disk.isDamaged = true;
    await assert.rejects(keep(), {code: 'LOG_CORRUPT'});
  });
});

function startDisk() {
  const clock = new ManualClock();
  const disk = {isFull: false, isDamaged: false, closed: 0};
  const starts: SiteControlProcessOptions[] = [];
  const start = async (opts: SiteControlProcessOptions): Promise<SiteControlProcess> => {
    starts.push(opts);
    if (disk.isDamaged) throw new MedlarlaneError('LOG_CORRUPT');
    if (disk.isFull) throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
    const close = async (): Promise<void> => void (disk.closed += 1);
    return {desk: {}, close} as unknown as SiteControlProcess;
  };
  const keep = () =>
    keepSiteControl({
      start,
      host: '127.0.0.1',
      rpcPort: 1,
      dataFolder: '/none',
      seeds: () => [],
      bootstrap: true,
      lossesTolerated: 1,
      clock,
      logger: silentLogger,
    });
  return {clock, disk, starts, keep};
}
