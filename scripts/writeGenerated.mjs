import {existsSync, mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {format} from 'prettier';

const root = path.resolve(import.meta.dirname, '..');
const prettierOptions = JSON.parse(readFileSync(path.join(root, '.prettierrc.json'), 'utf8'));

/** Writes a generated file below the root, or with `--check` compares it and sets exit code 1. */
export async function writeGenerated(relativePath, text, {parser, command}) {
  const file = path.join(root, relativePath);
  const formatted = await format(text, {...prettierOptions, parser});
  if (!process.argv.includes('--check')) {
    mkdirSync(path.dirname(file), {recursive: true});
    writeFileSync(file, formatted);
    return;
  }
  if (existsSync(file) && readFileSync(file, 'utf8') === formatted) return;
  console.error(`${relativePath} is out of date, run "${command}" after a build`);
  process.exitCode = 1;
}
