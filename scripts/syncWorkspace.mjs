/**
 * Writes the generated parts of each package: `dependencies` (from the imports in its sources, with
 * the versions of the root package.json) and `tsconfig.json` with its project references.
 * With `--check` it writes nothing and exits 1 when a file is out of date.
 */
import {existsSync, readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {builtinModules} from 'node:module';
import path from 'node:path';
import prettier from 'prettier';

const SCOPE = '@medlarlane/';
const check = process.argv.includes('--check');
const root = path.resolve(import.meta.dirname, '..');
const rootManifest = readJson(path.join(root, 'package.json'));
const rootVersions = {...rootManifest.dependencies, ...rootManifest.devDependencies};
const outdatedFiles = [];

const packages = findPackages();
const folderByName = new Map(packages.map(({folder, manifest}) => [manifest.name, folder]));
for (const entry of packages) await syncPackage(entry);
await writeJson(path.join(root, 'tsconfig.json'), {
  files: [],
  references: packages.map(({folder}) => ({path: `./${path.relative(root, folder)}`})),
});
if (outdatedFiles.length > 0) {
  console.error(`Out of date, run "npm run workspace:sync":\n  ${outdatedFiles.join('\n  ')}`);
  process.exit(1);
}

function findPackages() {
  return rootManifest.workspaces
    .flatMap((pattern) => expandPattern(pattern))
    .filter((folder) => existsSync(path.join(folder, 'package.json')))
    .sort()
    .map((folder) => ({folder, manifest: readJson(path.join(folder, 'package.json'))}));
}

function expandPattern(pattern) {
  if (!pattern.endsWith('/*')) return [path.join(root, pattern)];
  const parent = path.join(root, pattern.slice(0, -2));
  if (!existsSync(parent)) return [];
  return readdirSync(parent, {withFileTypes: true})
    .filter((entry) => entry.isDirectory())
    .map((entry) => path.join(parent, entry.name));
}

async function syncPackage({folder, manifest}) {
  const sourceImports = importedPackages(path.join(folder, 'src'));
  const testImports = importedPackages(path.join(folder, 'test'));
  sourceImports.delete(manifest.name);
  testImports.delete(manifest.name);
  const {dependencies, devDependencies, ...rest} = manifest;
  const testOnlyImports = [...testImports].filter((name) => !sourceImports.has(name));
  await writeJson(path.join(folder, 'package.json'), {
    ...rest,
    ...dependencySection('dependencies', [...sourceImports]),
    ...dependencySection('devDependencies', testOnlyImports),
  });
  const references = [...new Set([...sourceImports, ...testImports])]
    .filter((name) => folderByName.has(name))
    .sort()
    .map((name) => ({path: path.relative(folder, folderByName.get(name))}));
  await writeJson(path.join(folder, 'tsconfig.json'), {
    extends: path.relative(folder, path.join(root, 'tsconfig.base.json')),
    compilerOptions: {rootDir: '.', outDir: 'lib'},
    include: ['src', 'test'],
    references,
  });
}

function importedPackages(folder) {
  const names = new Set();
  if (!existsSync(folder)) return names;
  for (const file of readdirSync(folder, {recursive: true})) {
    if (!file.endsWith('.ts')) continue;
    const text = readFileSync(path.join(folder, file), 'utf8');
    for (const match of text.matchAll(/(?:\bfrom\s+|\bimport\s+|\bimport\()'([^'.\s][^'\s]*)'/g)) {
      const name = packageName(match[1]);
      if (name) names.add(name);
    }
  }
  return names;
}

function packageName(specifier) {
  if (specifier.startsWith('node:') || builtinModules.includes(specifier)) return undefined;
  const parts = specifier.split('/');
  return specifier.startsWith('@') ? parts.slice(0, 2).join('/') : parts[0];
}

function dependencySection(key, names) {
  if (names.length === 0) return {};
  return {[key]: Object.fromEntries(names.sort().map((name) => [name, versionOf(name)]))};
}

function versionOf(name) {
  if (name.startsWith(SCOPE)) return '*';
  const version = rootVersions[name];
  if (!version) throw new Error(`${name} is not listed in the root package.json`);
  return version;
}

function readJson(file) {
  return JSON.parse(readFileSync(file, 'utf8'));
}

async function writeJson(file, value) {
  const config = await prettier.resolveConfig(file);
  const text = await prettier.format(JSON.stringify(value, null, 2), {...config, filepath: file});
  if (existsSync(file) && readFileSync(file, 'utf8') === text) return;
  if (check) outdatedFiles.push(path.relative(root, file));
  else writeFileSync(file, text);
}
