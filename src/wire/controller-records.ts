/**
 * Stored records about the controllers: which controller leads, which are alive, and which record format each
 * of them reads.
 *
 * `lead` is written by the `Election` of a candidate and bound to the candidate's lease. Every controller
 * reads it, in `Election`, and each commit that only the leader may make is conditioned on it. The revision
 * of the commit that wrote it is the leader's fencing token.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `label` | `label` | name of the controller in the settings |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `serial` | `candidacy` | count from 1 in one incarnation |
 *
 * `alive/<label>` is written by the `Membership` of that controller and bound to its lease. If the key is
 * absent, the controller has failed or has no contact with the store. `Membership` and the leader's
 * `BlockRegistry` read it.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `boot` | `incarnation` | as above |
 * | `zone` | `zone` | name of the zone |
 *
 * `formats/<label>` is written by the `Membership` of that controller and bound to no lease; the number never
 * decreases. `Membership` and `BlockRegistry` read it: the leader uses new record formats once every
 * controller reads them.
 *
 * | stored | in the code | unit |
 * | --- | --- | --- |
 * | `format` | the number itself | version of the record formats, see `currentFormat` |
 */
import { asNumber, asText, isFieldMap } from './codec.js';

/** The record under `lead`: the candidate that won the latest election. */
export interface LeaderRecord {
  label: string;
  /**
   * The incarnation that was elected: after a restart, a controller does not lead by an election won before
   * the restart.
   */
  incarnation: string;
  /**
   * Distinguishes the candidacies of one incarnation, for the case that the response to a candidacy was lost.
   */
  candidacy: number;
}

/** The stored form of the leader record. */
export function leaderRecord(lead: LeaderRecord): unknown {
  return { label: lead.label, boot: lead.incarnation, serial: lead.candidacy };
}

/** Parses the leader record; undefined if there is no leader. */
export function parseLeader(value: unknown): LeaderRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  return {
    label: asText(value['label']),
    incarnation: asText(value['boot']),
    candidacy: asNumber(value['serial']),
  };
}

/** The record under `alive/<label>`: a controller whose lease has not expired. */
export interface AliveRecord {
  incarnation: string;
  zone: string;
}

/** The stored form of the record of a live controller. */
export function aliveRecord(alive: AliveRecord): unknown {
  return { boot: alive.incarnation, zone: alive.zone };
}

/** Parses the record of a live controller; undefined if the controller is not known to be alive. */
export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFieldMap(value)) return undefined;
  return { incarnation: asText(value['boot']), zone: asText(value['zone']) };
}

/**
 * The record format of this version. From format 2 on, a controller reads dependencies of jobs, machines on
 * pages of their own and ledger entries of any size. A controller that has stored no format reads none of
 * these.
 */
export const currentFormat = 2;

/** The stored form of the current format. */
export function formatRecord(): unknown {
  return { format: currentFormat };
}

/** Parses the stored format of a controller; 0 if the controller has stored none. */
export function parseFormat(value: unknown): number {
  return asNumber(isFieldMap(value) ? value['format'] : undefined);
}
