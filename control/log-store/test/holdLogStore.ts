/**
 * Opens the log in the folder given as an argument, appends an entry and runs until it is killed.
 */
import {openLogStore} from '@medlarlane/log-store';
import {entries} from './logStoreFixture.js';

const store = await openLogStore(process.argv[2]!);
await store.append({entries: entries(1, 1)});
console.log('ready');
setInterval(() => undefined, 1_000);
