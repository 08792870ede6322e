import {HOP_BY_HOP_HEADERS} from '@medlarlane/rpc';

/** Not forwarded, because each hop frames the body itself. */
const BODY_FRAMING_HEADER = 'content-length';
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Copies a flat list of header names and values without hop-by-hop headers. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  opts: {without?: ReadonlySet<string>} = {},
): string[] {
  const without = opts.without ?? NO_HEADERS;
  const options = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isHopByHop =
      HOP_BY_HOP_HEADERS.has(name) || name === BODY_FRAMING_HEADER || options.has(name);
    if (isHopByHop || without.has(name)) continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}

/** Returns the header names listed in `Connection` headers. */
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
