/**
 * The field `spec` of the record under `job/<id>`: what the user asked for. Written by `Submissions` when the job is accepted
 * and carried over unchanged by all later writes, with fields that only later versions know. Who reads it: see
 * `job-records.ts`. A test compares kept samples with these forms, so our names may change and the stored ones may not.
 *
 * | stored | ours | unit |
 * | --- | --- | --- |
 * | `id`, `jobClass`, `team`, `urgency` | the same | names |
 * | `tasks` | `tasks` | count |
 * | `cpus`, `accelerators` | the same | amount for each task |
 * | `memoryGb` | `memoryGb` | GB for each task |
 * | `image` | `image` | name |
 * | `imageGb` | `imageGb` | GB |
 * | `types` | `machineTypes` | list of names, or null |
 * | `zone` | `zone` | name, or null |
 * | `oneZone` | `colocated` | boolean |
 * | `spread`, `spot` | the same | boolean |
 * | `estimateS` | `estimatedRunS` | s |
 * | `checkpointS` | `checkpointIntervalS` | s |
 * | `saveS` | `checkpointSaveS` | s |
 * | `deadlineS` | `deadlineS` | s from the acceptance, or null |
 * | `acceptedAt` | `acceptedAt` | time of day in ms |
 * | `dependencies` | `dependencies` | list of ids; missing where the job has none |
 */
import type { JobSpec, Urgency } from '../model/types.js';
import { type Fields, list, number, text } from './codec.js';

const knownFields: ReadonlySet<string> = new Set([
  'id',
  'jobClass',
  'team',
  'urgency',
  'tasks',
  'cpus',
  'accelerators',
  'memoryGb',
  'image',
  'imageGb',
  'types',
  'zone',
  'oneZone',
  'spread',
  'spot',
  'estimateS',
  'checkpointS',
  'saveS',
  'deadlineS',
  'acceptedAt',
  'dependencies',
]);

/** The stored form. A job without dependencies has no such field, since earlier versions know none. */
export function jobSpecRecord(spec: JobSpec): Fields {
  const fields: Fields = {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    urgency: spec.urgency,
    tasks: spec.tasks,
    cpus: spec.cpus,
    accelerators: spec.accelerators,
    memoryGb: spec.memoryGb,
    image: spec.image,
    imageGb: spec.imageGb,
    types: spec.machineTypes,
    zone: spec.zone,
    oneZone: spec.colocated,
    spread: spec.spread,
    spot: spec.spot,
    estimateS: spec.estimatedRunS,
    checkpointS: spec.checkpointIntervalS,
    saveS: spec.checkpointSaveS,
    deadlineS: spec.deadlineS,
    acceptedAt: spec.acceptedAt,
  };
  if (spec.dependencies !== undefined) fields['dependencies'] = spec.dependencies;
  return spec.unknownFields === undefined ? fields : { ...fields, ...spec.unknownFields };
}

/** The job as it was accepted; fields that this version does not know are kept in `unknownFields`. */
export function parseJobSpec(fields: Fields): JobSpec {
  const spec: JobSpec = {
    id: text(fields['id']),
    jobClass: text(fields['jobClass']),
    team: text(fields['team']),
    urgency: text(fields['urgency']) as Urgency,
    tasks: number(fields['tasks']),
    cpus: number(fields['cpus']),
    accelerators: number(fields['accelerators']),
    memoryGb: number(fields['memoryGb']),
    image: text(fields['image']),
    imageGb: number(fields['imageGb']),
    machineTypes: Array.isArray(fields['types']) ? fields['types'].map((type) => text(type)) : null,
    zone: typeof fields['zone'] === 'string' ? fields['zone'] : null,
    colocated: fields['oneZone'] === true,
    spread: fields['spread'] === true,
    spot: fields['spot'] === true,
    estimatedRunS: number(fields['estimateS']),
    checkpointIntervalS: number(fields['checkpointS']),
    checkpointSaveS: number(fields['saveS']),
    deadlineS: typeof fields['deadlineS'] === 'number' ? fields['deadlineS'] : null,
    acceptedAt: number(fields['acceptedAt']),
  };
  if (fields['dependencies'] !== undefined) {
    spec.dependencies = list(fields['dependencies']).map((id) => text(id));
  }
  const unknownFields = unknownFieldsOf(fields);
  if (unknownFields !== undefined) spec.unknownFields = unknownFields;
  return spec;
}

/** Without any of them nothing is allocated: records are read often, and next to none has such fields. */
function unknownFieldsOf(fields: Fields): Fields | undefined {
  let unknownFields: Fields | undefined;
  for (const name of Object.keys(fields)) {
    if (knownFields.has(name)) continue;
    unknownFields ??= {};
    unknownFields[name] = fields[name];
  }
  return unknownFields;
}
