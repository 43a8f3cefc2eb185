/** The operators' settings, read from an optional XML file. */
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

/**
 * The settings from the operators' settings file. This second, optional file contains settings that the
 * platform's settings file does not have. Every value is either a time in seconds, or a multiple or fraction
 * of another quantity, for example of the heartbeat interval in the platform's file.
 */
export interface OperatorSettings {
  /**
   * The ladder: the thresholds of a pool, which consists of the machines of one type, spot or not. Machine
   * number m of the pool is rented when the demand in slots reaches threshold m.
   */
  ladder: {
    /**
     * Initial value of the threshold of machine number m, as a share of the capacity of all machines before
     * it.
     */
    initialThresholdShare: number;
    /** As `initialThresholdShare`, but for pools of spot machines. */
    spotInitialThresholdShare: number;
    /**
     * Target value of the failure ratio of a pool: the number of tasks that had to wait on arrival or were
     * displaced from their machine, divided by the number of tasks that arrived.
     */
    targetFailureRatio: number;
    /** Size of one slot, the unit of the thresholds, as a share of a machine's dominant resource. */
    slotShare: number;
    /** Seconds between two adjustments of a pool's thresholds. */
    adjustmentPeriodS: number;
    /** Length in seconds of the sliding window over which the failure ratio of a pool is measured. */
    failureWindowS: number;
  };
  /** Blocks: sets of machines, each with the work placed on it and leased to one controller. */
  blocks: {
    /** Time in seconds for which shares of the teams' quotas are leased to the blocks. */
    quotaSharePeriodS: number;
    /**
     * Amount of work that is dispatched to a block beyond the block's free capacity, as a share of the size
     * of the block.
     */
    dispatchLookaheadShare: number;
  };
  leadership: {
    /** Time to live of a controller's lease in the state service, in heartbeat intervals. */
    leaseHeartbeats: number;
  };
  workers: {
    /** A machine is released if it has sent no heartbeat for this many heartbeat intervals. */
    missedHeartbeats: number;
    /**
     * A machine is assumed never to start if it has sent no heartbeat within this multiple of the boot time
     * of its type.
     */
    bootTimeoutMultiple: number;
  };
}

/**
 * Converts the content of the file field by field, so that the names of elements and attributes in the file
 * do not depend on the names in the code.
 */
function settingsOf(file: v.InferOutput<typeof schema>): OperatorSettings {
  const { ladder, blocks, leadership, workers } = file;
  return {
    ladder: {
      initialThresholdShare: ladder.start,
      spotInitialThresholdShare: ladder.cheapStart,
      targetFailureRatio: ladder.target,
      slotShare: ladder.slotShare,
      adjustmentPeriodS: ladder.periodS,
      failureWindowS: ladder.windowS,
    },
    blocks: { quotaSharePeriodS: blocks.periodS, dispatchLookaheadShare: blocks.lookahead },
    leadership: { leaseHeartbeats: leadership.grantReports },
    workers: { missedHeartbeats: workers.silentReports, bootTimeoutMultiple: workers.bootTimes },
  };
}

/** The settings that apply if there is no operators' file. */
export const defaultOperatorSettings: OperatorSettings = settingsOf(v.parse(schema, {}));

/**
 * Parses the operators' file, for example `<shalekeel><ladder start="0.8"/></shalekeel>`. Unknown elements
 * and attributes are errors, unlike unknown fields in the platform's file.
 * @throws SettingsError that names the wrong element, or the line at which the XML is not well-formed.
 */
export async function parseOperatorSettings(xml: string): Promise<OperatorSettings> {
  // Loaded only if there is an operators' file, because loading the parser costs processor time at the start
  // of the process, and that time counts against the share of a processor core granted to the controller.
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
