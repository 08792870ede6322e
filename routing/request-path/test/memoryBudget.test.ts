import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MemoryBudget} from '@medlarlane/request-path';

const MB = 1024 * 1024;

describe('Memory budget', () => {
  it('cuts off the slowest reader when slow readers would exceed the memory of the process', () => {
    const budget = new MemoryBudget({processBytes: 4 * MB});
    const cut: string[] = [];
    const open = (name: string) => {
      const hold = budget.open({isReader: true, onCut: () => cut.push(name)});
      hold.add(400_000);
      return hold;
    };
    const [slow, fast] = [open('slow'), open('fast')];
    const untilMs = performance.now() + 2;
    while (performance.now() < untilMs);
    fast.remove(1);
    assert.equal(budget.isTight, true);
    open('new');
    assert.deepEqual(cut, ['slow']);
    assert.equal(budget.heldBytes, 799_999);
    slow.remove(400_000);
    assert.equal(budget.heldBytes, 799_999);
  });

  it('cuts off an endless response itself, not the callers that read other responses', () => {
    const budget = new MemoryBudget({processBytes: 4 * MB});
    const cut: string[] = [];
    budget.open({isReader: true, onCut: () => cut.push('caller')}).add(1_000);
    const endless = budget.open({isReader: false, onCut: () => cut.push('endless')});
    for (let sent = 0; sent < 20; sent += 1) endless.add(100_000);
    assert.deepEqual(cut, ['endless']);
    assert.equal(budget.heldBytes, 1_000);
  });

  // Guards against answers that are thrown away because uploads or other responses fill the budget.
  it('does not cut off a short response while others hold more than the budget', () => {
    const budget = new MemoryBudget({processBytes: 4 * MB});
    budget.open({isReader: false}).add(2 * MB);
    let isCut = false;
    budget.open({isReader: false, onCut: () => (isCut = true)}).add(1_000);
    assert.equal(isCut, false);
  });

  it('counts send queues, which grow while a peer does not read', () => {
    const budget = new MemoryBudget({processBytes: 4 * MB});
    budget.addQueue(() => 600_000);
    assert.equal(budget.isTight, true);
  });
});
