/**
 * Stored records about the controllers: the current leader, the live controllers, and the latest record
 * format that each controller can read.
 *
 * `lead` is written by the `Election` of a candidate and bound to the candidate's lease in the store. The
 * `Election` of every controller reads it. The revision of the commit that wrote `lead` is the leader's
 * fencing token. Each commit that only the leader may make is conditioned on `lead` still having this
 * revision as its version.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `label` | `label` | name of the controller in the settings |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `serial` | `candidacy` | count from 1 in one incarnation |
 *
 * `alive/<label>` is written by the `Membership` of that controller and bound to the controller's lease in
 * the store. If the key is absent, the controller has failed or has no contact with the store. `Membership`
 * and the leader's `BlockRegistry` read it.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `boot` | `incarnation` | as above |
 * | `zone` | `zone` | name of the zone |
 *
 * `formats/<label>` is written by the `Membership` of that controller and bound to no lease. The stored
 * number never decreases. `Membership` and `BlockRegistry` read it, because the leader uses a new record
 * format only after every controller can read it.
 *
 * | stored | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `format` | the number itself | version of the record formats, see `currentFormat` |
 */
import { asNumber, asText, isFieldMap } from './codec.js';

/** The record under `lead`. It identifies the candidate that won the latest election. */
export interface LeaderRecord {
  label: string;
  /**
   * The incarnation that was elected. If a controller restarts after its election, the new incarnation is not
   * the leader.
   */
  incarnation: string;
  /**
   * Number of the candidacy, counted from 1 within the incarnation. If the response to the commit of a
   * candidacy is lost, the controller compares this number with the number in the stored record to find out
   * whether that candidacy won.
   */
  candidacy: number;
}

/** The stored form of the leader record. */
export function leaderRecord(lead: LeaderRecord): unknown {
  return { label: lead.label, boot: lead.incarnation, serial: lead.candidacy };
}

/** Parses the leader record. Returns undefined if there is no leader. */
export function parseLeader(value: unknown): LeaderRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  return {
    label: asText(value['label']),
    incarnation: asText(value['boot']),
    candidacy: asNumber(value['serial']),
  };
}

/** The record under `alive/<label>`: a controller whose lease in the store has not expired. */
export interface AliveRecord {
  incarnation: string;
  zone: string;
}

/** The stored form of the record of a live controller. */
export function aliveRecord(alive: AliveRecord): unknown {
  return { boot: alive.incarnation, zone: alive.zone };
}

/** Parses the record of a live controller. Returns undefined if there is no record. */
export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  return { incarnation: asText(value['boot']), zone: asText(value['zone']) };
}

/**
 * The record format of this version of the program. From format 2 on, a controller can read:
 *
 * - the dependencies of jobs,
 * - machines that are listed on pages of their own instead of in the block record,
 * - ledger entries that cover any number of tasks (`chunkTasks` in `ledger-records.ts`).
 *
 * Versions before format 2 can read none of these and store no record format. A controller therefore has no
 * stored record format until it has run a version with format 2 or later.
 */
export const currentFormat = 2;

/** The stored form of `currentFormat`. */
export function formatRecord(): unknown {
  return { format: currentFormat };
}

/** Parses the stored record format of a controller. Returns 0 if the controller has stored no format. */
export function parseFormat(value: unknown): number {
  return asNumber(isFieldMap(value) ? value['format'] : undefined);
}
