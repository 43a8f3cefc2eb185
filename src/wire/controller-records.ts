/**
 * What the state service keeps of the controllers: who leads, who is alive, which format each of them reads.
 *
 * `lead`, written by `Election` of a candidate, bound to its lease. Read by every controller, in `Election`, and as a
 * condition of each commit that only the leader may make. The revision of the commit is the leader's fencing token.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `label` | `label` | name of the controller in the settings |
 * | `boot` | `incarnation` | opaque, one for each life of a process |
 * | `serial` | `candidacy` | count from 1 in one incarnation |
 *
 * `alive/<label>`, written by `Membership` of that controller, bound to its lease; its absence means that the controller has
 * failed or has no contact with the store. Read by `Membership` and by the leader's `BlockRegistry`.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `boot` | `incarnation` | as above |
 * | `zone` | `zone` | name of the zone |
 *
 * `formats/<label>`, written by `Membership` of that controller and bound to no lease; it never decreases. Read by
 * `Membership` and by `BlockRegistry`: the leader uses new forms of records once every controller reads them.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `format` | the number itself | version of the forms, see `currentFormat` |
 */
import { isFields, number, text } from './codec.js';

/** The record under `lead`: the candidate that won the last election. */
export interface LeaderRecord {
  label: string;
  /** The life of the process that was elected: a restarted controller does not lead by what its predecessor won. */
  incarnation: string;
  /** Tells the candidacies of an incarnation apart, where the response to one was lost. */
  candidacy: number;
}

/** The stored form. */
export function leaderRecord(lead: LeaderRecord): unknown {
  return { label: lead.label, boot: lead.incarnation, serial: lead.candidacy };
}

/** The record; undefined where nobody leads. */
export function parseLeader(value: unknown): LeaderRecord | undefined {
  if (!isFields(value)) return undefined;
  return {
    label: text(value['label']),
    incarnation: text(value['boot']),
    candidacy: number(value['serial']),
  };
}

/** The record under `alive/<label>`. */
export interface AliveRecord {
  incarnation: string;
  zone: string;
}

/** The stored form. */
export function aliveRecord(alive: AliveRecord): unknown {
  return { boot: alive.incarnation, zone: alive.zone };
}

/** The record; undefined where the controller is not known to be alive. */
export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFields(value)) return undefined;
  return { incarnation: text(value['boot']), zone: text(value['zone']) };
}

/**
 * The format of this version. From 2 on, a controller reads dependencies of jobs, machines in pages of their own and entries
 * of the ledger of any size; one that has stored no format reads none of these.
 */
export const currentFormat = 2;

/** The stored form of the present format. */
export function formatRecord(): unknown {
  return { format: currentFormat };
}

/** The format stored; 0 where there is none. */
export function parseFormat(value: unknown): number {
  return number(isFields(value) ? value['format'] : undefined);
}
