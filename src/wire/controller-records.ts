/** What the state service keeps of the controllers: who leads, who is alive, which format each of them reads. */
import { isFields, number, text } from './codec.js';

export interface LeadRecord {
  label: string;
  boot: string;
  serial: number;
}

export function leadRecord(lead: LeadRecord): unknown {
  return { label: lead.label, boot: lead.boot, serial: lead.serial };
}

export function parseLead(value: unknown): LeadRecord | undefined {
  if (!isFields(value)) return undefined;
  return { label: text(value['label']), boot: text(value['boot']), serial: number(value['serial']) };
}

export interface AliveRecord {
  boot: string;
  zone: string;
}

export function aliveRecord(alive: AliveRecord): unknown {
  return { boot: alive.boot, zone: alive.zone };
}

export function parseAlive(value: unknown): AliveRecord | undefined {
  if (!isFields(value)) return undefined;
  return { boot: text(value['boot']), zone: text(value['zone']) };
}

/** Whether the version of a controller heeds dependencies, pages of machines and entries of other sizes. */
export const currentFormat = 2;

export function formatRecord(): unknown {
  return { format: currentFormat };
}

export function parseFormat(value: unknown): number {
  return number(isFields(value) ? value['format'] : undefined);
}
