/** Finds the names of modules, tests, log events, settings and symbols that a document puts in code spans. */

/** What the source tree offers to be named. */
export interface KnownNames {
  /** Paths of all files below `src`, relative to the root of the repository. */
  files: readonly string[];
  /** Every word of the sources that may be an identifier. */
  identifiers: ReadonlySet<string>;
  /** Settings of the operators' file, as `element/attribute`. */
  settings: ReadonlySet<string>;
}

const codeSpan = /`([^`\n]+)`/g;
const fileName = /^[\w./-]+\.(test\.ts|trace|ts)$/;
const directory = /^src\/[\w/-]+\/?$/;
const symbol = /^(?:[A-Z][a-z]+(?:[A-Z][a-z]+)+|[A-Z][A-Za-z]+\.[a-z]\w*)(?:\(\))?$/;
const setting = /^(?:ladder|blocks|leadership|workers)\/[A-Za-z]+$/;
const eventRow = /^\| ((?:`[a-z-]+`(?:, )?)+) +\|/gm;

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

/** The names in a document that stand for nothing in the sources. */
export function unknownNames(document: string, known: KnownNames): string[] {
  return codeSpans(document).filter((span) => !isKnown(span, known));
}

/** The events that the first column of a document's tables lists. */
export function listedEvents(document: string): string[] {
  return [...document.matchAll(eventRow)].flatMap(([, cell = '']) => codeSpans(cell));
}

/** The words of a source file outside its comments. */
export function identifiersIn(source: string): string[] {
  const code = source.replace(/\/\*[\s\S]*?\*\/|\/\/.*/g, '');
  return code.match(/[A-Za-z]\w*/g) ?? [];
}

/** All events that a source file may log. */
export function loggedEvents(source: string): string[] {
  return [...source.matchAll(/event: '([a-z-]+)'/g)].map(([, event = '']) => event);
}

/** Those that it logs at a level that operators see by default; the level stands right before the event. */
export function operatorEvents(source: string): string[] {
  return [...source.matchAll(/\.(?:info|error)\(\s*\{\s*event: '([a-z-]+)'/g)].map(([, event = '']) => event);
}
