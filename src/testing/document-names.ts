/**
 * Supports the checks of the documents: finds names of files, settings and symbols in the code spans of a
 * document that do not exist in the sources. Collects the log events in the tables of a document and in the
 * log calls of the sources. With these, a test checks that the runbook lists every event logged at level info
 * or error, and no event that does not exist.
 */

/** The names that exist in the source tree and that documents may use. */
export interface KnownNames {
  /** Paths of all files below `src`, relative to the root of the repository. */
  files: readonly string[];
  /**
   * All words of the sources that have the form of an identifier, including keywords and words in string
   * literals, but not words in comments.
   */
  identifiers: ReadonlySet<string>;
  /** Settings of the operators' settings file, as `element/attribute`. */
  settings: ReadonlySet<string>;
}

const codeSpan = /`([^`\n]+)`/g;
const fileName = /^[\w./-]+\.(test\.ts|trace|ts)$/;
const directory = /^src\/[\w/-]+\/?$/;
const symbol = /^(?:[A-Z][a-z]+(?:[A-Z][a-z]+)+|[A-Z][A-Za-z]+\.[a-z]\w*)(?:\(\))?$/;
const setting = /^(?:ladder|blocks|leadership|workers)\/[A-Za-z]+$/;
const eventTableRow = /^\| ((?:`[a-z-]+`(?:, )?)+) +\|/gm;

function codeSpans(text: string): string[] {
  return [...text.matchAll(codeSpan)].map(([, span = '']) => span);
}

function isKnown(span: string, known: KnownNames): boolean {
  if (directory.test(span)) return known.files.some((file) => file.startsWith(span));
  if (fileName.test(span)) return known.files.some((file) => file === span || file.endsWith(`/${span}`));
  if (setting.test(span)) return known.settings.has(span);
  if (symbol.test(span))
    return span
      .replace('()', '')
      .split('.')
      .every((part) => known.identifiers.has(part));
  return true;
}

/** Returns the names in the code spans of a document that do not exist in the sources. */
export function unknownNames(document: string, known: KnownNames): string[] {
  return codeSpans(document).filter((span) => !isKnown(span, known));
}

/** Returns the log events in the first column of the tables of a document. */
export function listedEvents(document: string): string[] {
  return [...document.matchAll(eventTableRow)].flatMap(([, cell = '']) => codeSpans(cell));
}

/**
 * Returns all words of a source file that have the form of an identifier, including keywords and words in
 * string literals, but not words in comments.
 */
export function identifiersIn(source: string): string[] {
  const code = source.replace(/\/\*[\s\S]*?\*\/|\/\/.*/g, '');
  return code.match(/[A-Za-z]\w*/g) ?? [];
}

/** Returns all events that a source file may log. */
export function loggedEvents(source: string): string[] {
  return [...source.matchAll(/event: '([a-z-]+)'/g)].map(([, event = '']) => event);
}

/**
 * Returns the events that a source file logs at the levels `info` and `error`, which operators see by
 * default. Finds only log calls in which the event is the first field.
 */
export function operatorEvents(source: string): string[] {
  return [...source.matchAll(/\.(?:info|error)\(\s*\{\s*event: '([a-z-]+)'/g)].map(([, event = '']) => event);
}
