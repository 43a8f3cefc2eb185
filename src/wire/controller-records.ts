/** What the state service keeps of the controllers: who leads, who is alive, which format each of them reads. */
import { isFields, number, text } from './codec.js';

export interface LeaderRecord {
  label: string;
  incarnation: string;
  candidacy: number;
}

export function leaderRecord(lead: LeaderRecord): unknown {
  return { label: lead.label, boot: lead.incarnation, serial: lead.candidacy };
}

export function parseLeader(value: unknown): LeaderRecord | undefined {
  if (!isFields(value)) return undefined;
  return {
    label: text(value['label']),
    incarnation: text(value['boot']),
    candidacy: number(value['serial']),
  };
}

export interface AliveRecord {
  incarnation: string;
  zone: string;
}

export function aliveRecord(alive: AliveRecord): unknown {
  return { boot: alive.incarnation, zone: alive.zone };
}

export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFields(value)) return undefined;
  return { incarnation: text(value['boot']), zone: text(value['zone']) };
}

/** Whether the version of a controller heeds dependencies, pages of machines and entries of other sizes. */
export const currentFormat = 2;

export function formatRecord(): unknown {
  return { format: currentFormat };
}

export function parseFormat(value: unknown): number {
  return number(isFields(value) ? value['format'] : undefined);
}
