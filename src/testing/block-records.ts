/** Creates block records and leased machines for tests. */
import type { BlockRecord, LeasedMachine } from '../wire/block-records.js';

/** A machine of type `c8` (8 CPUs) in a block, leased with fencing token 5. */
export function leasedMachine(id: string, zone = 'a', change: Partial<LeasedMachine> = {}): LeasedMachine {
  return {
    id,
    fencingToken: 5,
    type: 'c8',
    zone,
    spot: false,
    draining: false,
    rentedAt: 0,
    ...change,
  };
}

/** A block without quota shares, owned by incarnation `b` of the controller `owner`. */
export function ownedBlock(owner: string, ...machines: LeasedMachine[]): BlockRecord {
  return { owner, incarnation: 'b', quotaShares: {}, machines };
}
