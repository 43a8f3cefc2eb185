/** Errors of the platform's and the operators' settings files. */

/** A settings file that cannot be used. Its message names the first thing that is wrong and fits one line. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** A field of the platform's file, named by its path with dots, that is missing or holds what it must not. */
export class SettingsFieldError extends SettingsError {
  constructor(
    /** Path of the field in the file; the file as a whole where no field is to blame. */
    readonly field: string,
    /** What is wrong with it. */
    readonly reason: string,
  ) {
    super(`field ${field}: ${reason}`);
  }
}
