import * as v from 'valibot';
import { SettingsError } from './settings.js';

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
    /** Where thresholds start, as a share of the room of the machines before. */
    start: number;
    /** The same for spot machines. */
    spotStart: number;
    /** Share of tasks that may wait or be displaced. */
    targetFailureRatio: number;
    /** A slot, as a share of a machine's dominant resource. */
    slotShare: number;
    /** Between two moves of a threshold. */
    periodS: number;
    /** For how long failures count. */
    windowS: number;
  };
  blocks: {
    /** For how long shares of teams' limits are leased. */
    quotaSharePeriodS: number;
    /** How much more than fits now a block is given, as a share of its size. */
    lookahead: number;
  };
  leadership: {
    /** Life of a controller's grant, in report intervals. */
    leaseHeartbeats: number;
  };
  workers: {
    /** Report intervals after which a silent machine is released. */
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

export const defaultOperatorSettings: OperatorSettings = settingsOf(v.parse(schema, {}));

/** The operators' file: `<shalekeel><ladder start="0.8"/></shalekeel>`. Unlike the platform's, it is strict. */
export async function parseOperatorSettings(xml: string): Promise<OperatorSettings> {
  // Loaded only when there is such a file: start-up is charged to the controller's share of a core.
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
