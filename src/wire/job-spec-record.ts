/**
 * Stored form of a job's specification, as the user submitted it: the field `spec` of the record under
 * `job/<id>`. `Submissions` writes it when the job is accepted. All later writes of the record keep `spec`
 * unchanged, including fields that only later versions define. `job-records.ts` lists the readers of the
 * record. `stored-samples.test.ts` compares the stored form with golden files, because names in the code may
 * change but stored names may not.
 *
 * | stored | in the code | unit or meaning |
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
 * | `acceptedAt` | `acceptedAt` | wall-clock time in ms since the epoch |
 * | `dependencies` | `dependencies` | list of ids; missing if the job has none |
 */
import type { JobSpec, Urgency } from '../model/types.js';
import { asList, asNumber, asText, type Fields } from './codec.js';

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

/**
 * The stored form of a job's specification. A job without dependencies has no field `dependencies`, as in
 * records of earlier versions.
 */
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

/** Parses a job's specification. Fields that this version does not define are kept in `unknownFields`. */
export function parseJobSpec(fields: Fields): JobSpec {
  const spec: JobSpec = {
    id: asText(fields['id']),
    jobClass: asText(fields['jobClass']),
    team: asText(fields['team']),
    urgency: asText(fields['urgency']) as Urgency,
    tasks: asNumber(fields['tasks']),
    cpus: asNumber(fields['cpus']),
    accelerators: asNumber(fields['accelerators']),
    memoryGb: asNumber(fields['memoryGb']),
    image: asText(fields['image']),
    imageGb: asNumber(fields['imageGb']),
    machineTypes: Array.isArray(fields['types']) ? fields['types'].map((type) => asText(type)) : null,
    zone: typeof fields['zone'] === 'string' ? fields['zone'] : null,
    colocated: fields['oneZone'] === true,
    spread: fields['spread'] === true,
    spot: fields['spot'] === true,
    estimatedRunS: asNumber(fields['estimateS']),
    checkpointIntervalS: asNumber(fields['checkpointS']),
    checkpointSaveS: asNumber(fields['saveS']),
    deadlineS: typeof fields['deadlineS'] === 'number' ? fields['deadlineS'] : null,
    acceptedAt: asNumber(fields['acceptedAt']),
  };
  if (fields['dependencies'] !== undefined) {
    spec.dependencies = asList(fields['dependencies']).map((id) => asText(id));
  }
  const unknownFields = unknownFieldsOf(fields);
  if (unknownFields !== undefined) spec.unknownFields = unknownFields;
  return spec;
}

/**
 * The fields that this version does not define, or undefined if there are none. In that case no object is
 * allocated, because records are read often and hardly any record contains such fields.
 */
function unknownFieldsOf(fields: Fields): Fields | undefined {
  let unknownFields: Fields | undefined;
  for (const name of Object.keys(fields)) {
    if (knownFields.has(name)) continue;
    unknownFields ??= {};
    unknownFields[name] = fields[name];
  }
  return unknownFields;
}
