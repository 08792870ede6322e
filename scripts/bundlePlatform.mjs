/**
 * Bundles the programs for the users' platform under target/. A bundle starts in a fraction of the
 * time needed to load the packages one by one.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';
import {parse} from 'smol-toml';

const root = path.resolve(import.meta.dirname, '..');
const DOMAINS = ['kernel', 'protocol', 'control', 'routing', 'targets', 'apps'];

/** Resolves workspace packages to their sources, so that no separate compilation is needed. */
const workspaceSources = {
  name: 'workspace-sources',
  setup: (bundler) => {
    bundler.onResolve({filter: /^@medlarlane\//}, ({path: name}) => {
      const packageName = name.slice('@medlarlane/'.length);
      const candidates = DOMAINS.map((domain) =>
        path.join(root, domain, packageName, 'src', 'index.ts'),
      );
      const found = candidates.find((candidate) => existsSync(candidate));
      return found ? {path: found, sideEffects: false} : undefined;
    });
  },
};

/** Omits the non-English messages of zod, which make up half of all code. */
const englishOnly = {
  name: 'english-only',
  setup: (bundler) => {
    bundler.onLoad({filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

// V8 compares only the length of the source with that of the cache, so an earlier cache is removed.
const cacheFile = path.join(root, 'target', 'programs.cache');
rmSync(cacheFile, {force: true});

await build({
  entryPoints: [path.join(root, 'platform', 'src', 'main.ts')],
  outfile: path.join(root, 'target', 'programs.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  plugins: [workspaceSources, englishOnly],
});

/**
 * Starts the programs from bytecode compiled by the build. V8 rejects a cache that was created by
 * another version of Node.js or with other flags, and compiles the source instead.
 */
const LAUNCHER = `'use strict';
// The default action of the signal would end the process until the programs handle it.
process.on('SIGHUP', () => undefined);
const fs = require('node:fs');
const path = require('node:path');
const vm = require('node:vm');
const file = path.join(__dirname, 'programs.cjs');
const cacheFile = path.join(__dirname, 'programs.cache');
const source = '(function (require, module, exports, __filename, __dirname) {' +
  fs.readFileSync(file, 'utf8') + '\\n})';
const isBuild = process.argv[2] === 'compile-cache';
let cachedData;
if (!isBuild && fs.existsSync(cacheFile)) cachedData = fs.readFileSync(cacheFile);
const script = new vm.Script(source, {filename: file, cachedData});
if (isBuild) process.once('exit', () => fs.writeFileSync(cacheFile, script.createCachedData()));
script.runInThisContext()(require, module, exports, file, __dirname);
`;
const launcherFile = path.join(root, 'target', 'medlarlane.cjs');
writeFileSync(launcherFile, LAUNCHER);
// Compiles the cache with the flags of the programs, because V8 rejects it under other flags.
const {roles} = parse(readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'));
const flags = roles.daemon.run.split(' ').filter((word) => word.startsWith('--'));
spawnSync(process.execPath, [...flags, launcherFile, 'compile-cache'], {stdio: 'ignore'});
if (!existsSync(cacheFile))
  console.warn('No bytecode cache was written; the programs are compiled at startup');
