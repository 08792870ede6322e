import type {KeyRule} from '@medlarlane/model';

/** The parts of a request that can contain a key. */
export interface KeySource {
  /** Path and query as received, without decoding. */
  readonly url: string;
  /** Header values by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

type Extractors = {
  readonly [K in KeyRule['from']]: (
    rule: Extract<KeyRule, {from: K}>,
    source: KeySource,
  ) => string | undefined;
};

const EXTRACTORS: Extractors = {
  path: ({segment}, {url}) => decodeSegment(pathOf(url).split('/')[segment + 1]),
  header: ({name}, {headers}) => singleValue(headers[name.toLowerCase()]),
  query: ({name}, {url}) => new URLSearchParams(queryOf(url)).get(name) ?? undefined,
};

/** Returns the key of a request, or `undefined` when it contains none. */
export function extractKey(rule: KeyRule, source: KeySource): string | undefined {
  const extract = EXTRACTORS[rule.from] as (rule: KeyRule, source: KeySource) => string | undefined;
  return extract(rule, source) || undefined;
}

function pathOf(url: string): string {
  const end = url.search(/[?#]/);
  return end < 0 ? url : url.slice(0, end);
}

function queryOf(url: string): string {
  const start = url.indexOf('?');
  return start < 0 ? '' : url.slice(start + 1);
}

function decodeSegment(segment: string | undefined): string | undefined {
  if (segment === undefined) return undefined;
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}

// A repeated header does not identify a single key.
function singleValue(value: string | string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined;
}
