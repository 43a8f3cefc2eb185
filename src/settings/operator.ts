/** The operators' own settings, an optional XML file. */
import * as v from 'valibot';

import { SettingsError } from './errors.js';

const share = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
const ratio = v.pipe(v.number(), v.gtValue(0));

const schema = v.strictObject({
  ladder: v.optional(
    v.strictObject({
      start: v.optional(share, 0.8),
      cheapStart: v.optional(share, 0.92),
      target: v.optional(share, 0.01),
      slotShare: v.optional(share, 0.125),
      periodS: v.optional(ratio, 30),
      windowS: v.optional(ratio, 300),
    }),
    {},
  ),
  blocks: v.optional(
    v.strictObject({ periodS: v.optional(ratio, 30), lookahead: v.optional(share, 0.25) }),
    {},
  ),
  leadership: v.optional(v.strictObject({ grantReports: v.optional(ratio, 2.4) }), {}),
  workers: v.optional(
    v.strictObject({ silentReports: v.optional(ratio, 3), bootTimes: v.optional(ratio, 3) }),
    {},
  ),
});

/** What operators may set beyond the platform's file. Every value is a ratio to a figure of that file, or a time in s. */
export interface OperatorSettings {
  ladder: {
    /** Where thresholds start, as a share of the capacity of the machines before. */
    start: number;
    /** The same for spot machines. */
    spotStart: number;
    /** Share of tasks that may wait on arrival or be displaced. */
    targetFailureRatio: number;
    /** A slot, as a share of a machine's dominant resource. */
    slotShare: number;
    /** Seconds between two moves of a threshold. */
    periodS: number;
    /** Seconds for which a failure counts. */
    windowS: number;
  };
  blocks: {
    /** Seconds for which shares of the teams' quotas are leased to the blocks. */
    quotaSharePeriodS: number;
    /** How much more than fits now is dispatched to a block, as a share of its size. */
    lookahead: number;
  };
  leadership: {
    /** Time to live of a controller's lease in the state service, in heartbeat intervals. */
    leaseHeartbeats: number;
  };
  workers: {
    /** Heartbeat intervals after which a silent machine is released. */
    missedHeartbeats: number;
    /** Multiple of its type's boot time after which a machine counts as never coming. */
    bootTimes: number;
  };
}

/** Field by field: the file keeps the names of its elements and attributes, whatever our own are. */
function settingsOf(file: v.InferOutput<typeof schema>): OperatorSettings {
  const { ladder, blocks, leadership, workers } = file;
  return {
    ladder: {
      start: ladder.start,
      spotStart: ladder.cheapStart,
      targetFailureRatio: ladder.target,
      slotShare: ladder.slotShare,
      periodS: ladder.periodS,
      windowS: ladder.windowS,
    },
    blocks: { quotaSharePeriodS: blocks.periodS, lookahead: blocks.lookahead },
    leadership: { leaseHeartbeats: leadership.grantReports },
    workers: { missedHeartbeats: workers.silentReports, bootTimes: workers.bootTimes },
  };
}

/** What holds where there is no such file. */
export const defaultOperatorSettings: OperatorSettings = settingsOf(v.parse(schema, {}));

/**
 * Reads the operators' file, for example `<shalekeel><ladder start="0.8"/></shalekeel>`. Unlike the platform's it is strict:
 * an element or attribute that is not known is an error.
 * @throws SettingsError that names the element, or the line of XML that is not well-formed.
 */
export async function parseOperatorSettings(xml: string): Promise<OperatorSettings> {
  // Loaded only when there is such a file: start-up is charged to the controller's share of a core.
  // eslint-disable-next-line @typescript-eslint/no-deprecated -- its successor is another package, whose messages may differ
  const { XMLParser, XMLValidator } = await import('fast-xml-parser');
  const valid = XMLValidator.validate(xml);
  if (valid !== true) throw new SettingsError(`not valid XML: line ${valid.err.line}: ${valid.err.msg}`);
  const parser = new XMLParser({
    ignoreAttributes: false,
    attributeNamePrefix: '',
    parseAttributeValue: true,
    ignoreDeclaration: true,
  });
  const root = parser.parse(xml) as Record<string, unknown>;
  if (!('shalekeel' in root)) throw new SettingsError('the root element must be <shalekeel>');
  const body = root['shalekeel'];
  const result = v.safeParse(schema, body === '' ? {} : body);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`element ${v.getDotPath(issue) ?? 'shalekeel'}: ${issue.message}`);
  }
  return settingsOf(result.output);
}
