import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MedlarlaneError} from '@medlarlane/errors';
import {ManualClock} from '@medlarlane/lifecycle';
import {silentLogger} from '@medlarlane/logger';
import {superviseSiteControl} from '@medlarlane/site';
import type {SiteControlProcess, SiteControlProcessOptions} from '@medlarlane/site';

const RESTART_DELAY_MS = 500;

describe('A supervised control replica', () => {
  it('restarts after a failed write until the disk accepts writes, without a new bootstrap', async () => {
    const {disk, starts, clock, keep: supervise} = createFixture();
    const control = await supervise();
    disk.isFull = true;
    starts[0]!.onLogFailure(new MedlarlaneError('LOG_WRITE_FAILED'));
    await clock.advance(0);
    assert.equal(control.current, undefined);
    await assert.rejects(control.configurationService.readConfiguration(), {code: 'NO_LEADER'});
    await clock.advance(3 * RESTART_DELAY_MS);
    disk.isFull = false;
    await clock.advance(RESTART_DELAY_MS);
    assert.notEqual(control.current, undefined);
    assert.equal(disk.closed, 1);
    assert.deepEqual([starts[0]!.bootstrap, starts.at(-1)!.bootstrap], [true, false]);
  });

  it('retries its first start while the disk is full', async () => {
    const {disk, starts, clock, keep: supervise} = createFixture();
    disk.isFull = true;
    const starting = supervise();
    await clock.advance(RESTART_DELAY_MS);
    disk.isFull = false;
    await clock.advance(RESTART_DELAY_MS);
    assert.notEqual((await starting).current, undefined);
    assert.ok(starts.every(({bootstrap}) => bootstrap));
  });

  it('does not start with a corrupt log', async () => {
    const {disk, keep: supervise} = createFixture();
    disk.isDamaged = true;
    await assert.rejects(supervise(), {code: 'LOG_CORRUPT'});
  });
});

function createFixture() {
  const clock = new ManualClock();
  const disk = {isFull: false, isDamaged: false, closed: 0};
  const starts: SiteControlProcessOptions[] = [];
  const start = async (opts: SiteControlProcessOptions): Promise<SiteControlProcess> => {
    starts.push(opts);
    if (disk.isDamaged) throw new MedlarlaneError('LOG_CORRUPT');
    if (disk.isFull) throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
    const close = async (): Promise<void> => void (disk.closed += 1);
    return {configurationService: {}, close} as unknown as SiteControlProcess;
  };
  const supervise = () =>
    superviseSiteControl({
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
  return {clock, disk, starts, keep: supervise};
}
