import {
  decodeValue,
  directoryChangeSchema,
  encodeValue,
  rangeSchema,
  sessionSchema,
} from '@medlarlane/model';
import {z} from 'zod';
import {roundFigure, type Figure} from './figure.js';
import {sampleDocument, sampleMoveChange, sampleRanges, sampleSessions} from './sampleState.js';

const COUNT = 2_000;

/** Measures the msgpack size of messages of the model, and checks that they decode. */
export function messageSize(): Figure[] {
  const perItem = (items: readonly unknown[], schema: z.ZodType): number => {
    const bytes = encodeValue(items);
    decodeValue(z.array(schema), bytes);
    return bytes.length / items.length;
  };
  const document: unknown = {kind: 'document', revision: 9, document: sampleDocument()};
  const figure = (name: string, value: number, unit: string): Figure => ({
    name: `message-size.${name}`,
    value: roundFigure(value),
    unit,
  });
  return [
    figure('per-range', perItem(sampleRanges(COUNT), rangeSchema), 'B/range'),
    figure('per-session', perItem(sampleSessions(COUNT), sessionSchema), 'B/session'),
    figure('per-document', perItem([document], directoryChangeSchema), 'B/change'),
    figure('per-move-change', perItem([sampleMoveChange()], directoryChangeSchema), 'B/change'),
  ];
}
