/** Errors in the settings files of the platform and of the operators. */

/** A settings file cannot be used. The message names the first error in the file and fits on one line. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** A field of the platform's settings file is missing or has an invalid value. */
export class SettingsFieldError extends SettingsError {
  constructor(
    /**
     * Path of the field in the file, with its parts separated by dots, or `(whole file)` if the error does
     * not belong to a single field.
     */
    readonly field: string,
    /** What is wrong with the field. */
    readonly reason: string,
  ) {
    super(`field ${field}: ${reason}`);
  }
}
