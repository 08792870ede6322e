/**
 * Writes docs/schema/service-document.schema.json from the zod schema of the document (after a build).
 * With `--check` it writes nothing and exits 1 when the file is out of date.
 */
import {z} from 'zod';
import {serviceDocumentSchema} from '@medlarlane/model';
import {writeGenerated} from './writeGenerated.mjs';

// The conversion omits rules between fields: `key` is required if and only if splitByKey is true.
const KEY_RULE = {
  if: {properties: {splitByKey: {const: true}}, required: ['splitByKey']},
  then: {required: ['key']},
  else: {not: {required: ['key']}},
};

const {$schema, ...rest} = z.toJSONSchema(serviceDocumentSchema, {
  io: 'input',
  override: ({jsonSchema}) => {
    // Not a format of the JSON Schema standard; the accompanying pattern is equivalent.
    if (jsonSchema.format === 'starts_with' && jsonSchema.pattern) delete jsonSchema.format;
  },
});
const schema = {
  $schema,
  $id: 'urn:medlarlane:schema:service-document',
  title: 'medlarlane service document',
  ...rest,
  ...KEY_RULE,
};

await writeGenerated('docs/schema/service-document.schema.json', JSON.stringify(schema), {
  parser: 'json',
  command: 'npm run docs:generate',
});
