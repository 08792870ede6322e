import {LineCounter, parseDocument} from 'yaml';
import {formatProblems, parseServiceDocument} from '@medlarlane/admin-api';
import type {FieldProblem} from '@medlarlane/admin-api';
import {MedlarlaneError} from '@medlarlane/errors';
import type {ServiceDocument} from '@medlarlane/model';
import type {CliIo} from './cliIo.js';
import {readFileArgument} from './operatorCommand.js';

/**
 * Reads a service document in YAML or JSON and fills in its defaults. `-` reads standard input.
 * @throws MedlarlaneError `DOCUMENT_INVALID` with all problems; `REQUEST_INVALID` when the file
 *     cannot be read.
 */
export async function readDocument(io: CliIo, path: string): Promise<ServiceDocument> {
  const text = path === '-' ? await io.readStandardInput() : await readFileArgument('--file', path);
  return parseServiceDocument(parseText(text));
}

function parseText(text: string): unknown {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter});
  const problems: FieldProblem[] = document.errors.map((error) => {
    const {line, col} = lineCounter.linePos(error.pos[0]);
    const [reason = ''] = error.message.split('\n');
    return {path: `line ${line}, column ${col}`, expected: 'valid YAML or JSON', found: reason};
  });
  if (problems.length === 0) return document.toJS();
  const message = `Document cannot be parsed:\n${formatProblems(problems)}`;
  throw new MedlarlaneError('DOCUMENT_INVALID', message, {details: {problems}});
}
