/** The form in which job records hold what a user asked for: field by field, whatever our own names for it are. */
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

/** A job without dependencies has no such field, since earlier versions know none. */
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
