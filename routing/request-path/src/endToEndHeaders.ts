import {HOP_BY_HOP_HEADERS} from '@medlarlane/rpc';

/** Each hop frames the body anew. */
const FRAMING = 'content-length';
const NONE: ReadonlySet<string> = new Set();

/** Copies a flat list of names and values without those that concern one connection only. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  opts: {without?: ReadonlySet<string>} = {},
): string[] {
  const without = opts.without ?? NONE;
  const options = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const concernsHop = HOP_BY_HOP_HEADERS.has(name) || name === FRAMING || options.has(name);
    if (concernsHop || without.has(name)) continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Header names that `Connection` lists. */
function connectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
  const options = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue;
    for (const option of rawHeaders[index + 1]!.split(',')) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
}
