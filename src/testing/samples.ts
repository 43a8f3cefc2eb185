/**
 * Kept samples of what this program stores, sends and receives. They were written by the version that first had them here
 * and stay as they are: controllers of several versions share their data, so a form that changes is lost data.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { decode, encode } from '../wire/codec.js';

const directory = 'src/wire/samples';

/** A value as plain data, and the bytes in which this program writes it. */
interface Sample {
  value: unknown;
  hex: string;
}

export function readSampleFile(file: string): string {
  return readFileSync(join(directory, file), 'utf8');
}

/** The samples of one file; each of them has to be compared with something, see `unread`. */
export class Samples {
  private readonly samples: Record<string, unknown>;
  private readonly compared = new Set<string>();

  constructor(private readonly file: string) {
    this.samples = JSON.parse(readSampleFile(file)) as Record<string, unknown>;
  }

  /** Names of samples that nothing was compared with so far. */
  get unread(): string[] {
    return Object.keys(this.samples).filter((name) => !this.compared.has(name));
  }

  /** A sample of something that others write, or of text. */
  plain(name: string): unknown {
    assert.ok(name in this.samples, `${this.file} has no sample ${name}`);
    this.compared.add(name);
    return this.samples[name];
  }

  /** The bytes of a sample that this program writes. */
  bytes(name: string): Buffer {
    return Buffer.from((this.plain(name) as Sample).hex, 'hex');
  }

  /** What is told as text now is the sample. */
  assertPlain(name: string, written: unknown): void {
    assert.deepEqual(written, this.plain(name), `${name} differs`);
  }

  /** What is written now is the sample, field by field and byte by byte. */
  assertWritten(name: string, written: unknown): void {
    const { value, hex } = this.plain(name) as Sample;
    assert.deepEqual(written, value, `${name} has other fields`);
    assert.equal(encode(written).toString('hex'), hex, `${name} has other bytes`);
  }

  /** The sample is read as `model`, from its fields as well as from its bytes. */
  assertRead(name: string, read: (value: unknown) => unknown, model: unknown): void {
    assert.deepEqual(read((this.plain(name) as Sample).value), model, `${name} reads otherwise`);
    assert.deepEqual(read(decode(this.bytes(name))), model, `the bytes of ${name} read otherwise`);
  }
}
