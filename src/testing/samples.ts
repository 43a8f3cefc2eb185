/**
 * Reads samples of the data that this program stores, sends and receives. Each sample was written by the
 * version that introduced it. A sample must not change, because controllers of several versions share their
 * data, and data in a changed format would be lost.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { decode, encode } from '../wire/codec.js';

const directory = 'src/wire/samples';

/** A value as plain data, and the encoding of the value by this program as hexadecimal digits. */
interface Sample {
  value: unknown;
  hex: string;
}

export function readSampleFile(file: string): string {
  return readFileSync(join(directory, file), 'utf8');
}

/**
 * The samples of one file. A test compares the samples one by one, and then checks that `uncompared` is
 * empty.
 */
export class Samples {
  private readonly samples: Record<string, unknown>;
  private readonly compared = new Set<string>();

  constructor(private readonly file: string) {
    this.samples = JSON.parse(readSampleFile(file)) as Record<string, unknown>;
  }

  /** Names of the samples that have not been compared so far. */
  get uncompared(): string[] {
    return Object.keys(this.samples).filter((name) => !this.compared.has(name));
  }

  /**
   * Returns a sample that contains no encoded bytes, such as text or data that other programs write. Counts
   * it as compared.
   */
  plainValue(name: string): unknown {
    assert.ok(name in this.samples, `${this.file} has no sample ${name}`);
    this.compared.add(name);
    return this.samples[name];
  }

  /** Returns the encoded bytes of a sample that this program writes. */
  bytes(name: string): Buffer {
    return Buffer.from((this.plainValue(name) as Sample).hex, 'hex');
  }

  /** Asserts that the value equals a sample that contains no encoded bytes. */
  assertPlain(name: string, written: unknown): void {
    assert.deepEqual(written, this.plainValue(name), `${name} differs from its sample`);
  }

  /**
   * Asserts that the value has the same fields as the sample, and that the encoding of the value has the same
   * bytes.
   */
  assertWritten(name: string, written: unknown): void {
    const { value, hex } = this.plainValue(name) as Sample;
    assert.deepEqual(written, value, `fields of ${name} differ from its sample`);
    assert.equal(encode(written).toString('hex'), hex, `bytes of ${name} differ from its sample`);
  }

  /** Asserts that `read` returns `model`, both for the fields of the sample and for its decoded bytes. */
  assertRead(name: string, read: (value: unknown) => unknown, model: unknown): void {
    assert.deepEqual(
      read((this.plainValue(name) as Sample).value),
      model,
      `${name} is read as a different value`,
    );
    assert.deepEqual(
      read(decode(this.bytes(name))),
      model,
      `the bytes of ${name} are read as a different value`,
    );
  }
}
