/** RFC 9110, section 7.6.1, and what each hop sets itself. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'expect',
]);
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
    if (HOP_BY_HOP.has(name) || without.has(name) || options.has(name)) continue;
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
