import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Kernel} from '@medlarlane/kernel';

declare module '@medlarlane/kernel' {
  interface ServiceRegistry {
    testStorage: string[];
    testReader: {read(): string[]};
  }
}

test('Services are created once, after their dependencies, and released in reverse order', async () => {
  const events: string[] = [];
  const kernel = new Kernel()
    .register('testReader', async (services, store) => {
      const storage = await services.get('testStorage');
      store.add(() => void events.push('reader released'));
      return {read: () => storage};
    })
    .register('testStorage', (_services, store) => {
      events.push('storage created');
      store.add(() => void events.push('storage released'));
      return ['entry'];
    });
  await kernel.start();
  assert.deepEqual((await kernel.get('testReader')).read(), ['entry']);
  await kernel.stop();
  assert.deepEqual(events, ['storage created', 'reader released', 'storage released']);
});
