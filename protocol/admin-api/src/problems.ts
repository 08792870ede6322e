import type {z} from 'zod';

/** A field with an invalid value. */
export interface FieldProblem {
  /** Dotted path of the field, `(root)` for the whole value. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

type Issue = z.core.$ZodIssue;

const MISSING = '(missing)';
const MAX_FOUND_CHARS = 80;

/** Converts the issues of a Zod error into field problems, in the order of the schema's fields. */
export function toFieldProblems(error: z.ZodError, input: unknown): FieldProblem[] {
  return error.issues.flatMap((issue) => {
    if (issue.code !== 'unrecognized_keys')
      return [problemAt(issue.path, describeExpected(issue), input)];
    return issue.keys.map((key) => problemAt([...issue.path, key], 'no field of this name', input));
  });
}

/** Formats each problem as one line. */
export function formatProblems(problems: readonly FieldProblem[]): string {
  return problems
    .map(({path, expected, found}) => `  ${path}: expected ${expected}, found ${found}`)
    .join('\n');
}

function problemAt(path: readonly PropertyKey[], expected: string, input: unknown): FieldProblem {
  return {
    path: path.length === 0 ? '(root)' : path.map(String).join('.'),
    expected,
    found: toShortJson(valueAt(input, path)),
  };
}

function describeExpected(issue: Issue): string {
  const describeIssue = DESCRIPTIONS[issue.code] as ((issue: Issue) => string) | undefined;
  return describeIssue?.(issue) ?? withoutPrefix(issue.message);
}

/** Descriptions of the expected value by issue code. Other codes describe it in their message. */
const DESCRIPTIONS: {readonly [C in Issue['code']]?: (issue: Extract<Issue, {code: C}>) => string} =
  {
    invalid_type: ({expected}) => TYPE_NAMES[expected] ?? `a ${expected}`,
    invalid_value: ({values}) => `one of ${values.join(', ')}`,
    invalid_union: (issue) =>
      'options' in issue && Array.isArray(issue.options)
        ? `one of ${issue.options.join(', ')}`
        : 'one of the allowed forms',
    invalid_format: (issue) => {
      if ('prefix' in issue) return `text that starts with "${issue.prefix}"`;
      const hasOwnMessage = issue.message.startsWith('expected ');
      return hasOwnMessage ? withoutPrefix(issue.message) : `text that matches ${issue.pattern}`;
    },
    too_small: ({minimum, origin}) => `at least ${minimum}${UNITS[origin] ?? ''}`,
    too_big: ({maximum, origin}) => `at most ${maximum}${UNITS[origin] ?? ''}`,
  };

const TYPE_NAMES: Readonly<Record<string, string>> = {
  int: 'a whole number',
  array: 'a list',
  object: 'an object',
  boolean: 'true or false',
};

const UNITS: Readonly<Record<string, string>> = {
  string: ' characters',
  array: ' entries',
};

function withoutPrefix(message: string): string {
  return message.replace(/^expected /, '');
}

function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    input,
  );
}

function toShortJson(value: unknown): string {
  if (value === undefined) return MISSING;
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_FOUND_CHARS ? `${text.slice(0, MAX_FOUND_CHARS)}…` : text;
}
