/** What a user was told of a job, or that the request came to nothing. */
export type Told = 'pending' | 'running' | 'done' | 'cancelled' | 'unknown' | 'turned away' | 'refused';

/** What happened, as the stand-ins themselves know it: no controller's word is taken for it. */
export type Happening =
  /** A submission as its user sent it; `job` is what it asks for, where it is valid. */
  | { kind: 'submitted'; id: string; job: JobFacts | undefined }
  | { kind: 'asked to cancel'; id: string }
  /**
   * `by`: submissions are accepted or refused, questions and cancels are answered. `sentAt`: when the request was sent; the
   * happening itself is dated by the answer.
   */
  | { kind: 'told'; id: string; by: 'submission' | 'question' | 'cancel'; what: Told; sentAt: number }
  /** It has its image: it is on the machine from now on. */
  | { kind: 'started'; task: string; machine: string }
  | { kind: 'left'; task: string; machine: string; completed: boolean }
  | { kind: 'machine'; machine: string; type: string; zone: string; spot: boolean };

export interface JobFacts {
  team: string;
  tasks: number;
  cpus: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  /** Jobs that have to be done before any task of this one starts. */
  dependencies: string[];
}

export type Dated = Happening & { at: number };

/** Time of day in ms with fractions: requests follow each other within less than a millisecond. */
const fineClock = (): number => performance.timeOrigin + performance.now();

export class History {
  readonly happenings: Dated[] = [];

  constructor(private readonly clock: () => number = fineClock) {}

  now(): number {
    return this.clock();
  }

  add(happening: Happening): void {
    this.happenings.push({ ...happening, at: this.clock() });
  }
}
