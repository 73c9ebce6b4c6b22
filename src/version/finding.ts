/** Validation findings with their source locations. */

/** Location of a finding in its source. */
export interface SourceLocation {
  /** Name of the file or other source of the input. */
  readonly source: string;
  /** Line number from 1; 0 if the source has no lines. */
  readonly line: number;
  /** Title of the section; empty if none. */
  readonly section: string;
  /** Key in the section; empty if none. */
  readonly key: string;
}

/** A validation error; the message states what was expected. */
export interface Finding {
  readonly location: SourceLocation;
  readonly message: string;
}

/** Formats a finding as one line. */
export function formatFinding(finding: Finding): string {
  const { source, line, section, key } = finding.location;
  const sectionPart = section === "" ? "" : ` [${section}]`;
  const keyPart = key === "" ? "" : ` ${key}`;
  return `${source}:${line}:${sectionPart}${keyPart}: ${finding.message}`;
}
