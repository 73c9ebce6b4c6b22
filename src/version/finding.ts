/** Findings: what is wrong in some input, each with its place. */

/** Where a finding stands in its source. */
export interface SourceLocation {
  /** Name of the file or of the transport it came by. */
  readonly source: string;
  /** Line in the source, from 1; 0 when the source has no lines. */
  readonly line: number;
  /** Title of the section, or empty. */
  readonly section: string;
  /** Key inside the section, or empty. */
  readonly key: string;
}

/** One thing that is wrong, and what would be right. */
export interface Finding {
  readonly location: SourceLocation;
  readonly message: string;
}

/** Returns the one-line form of a finding. */
export function formatFinding(finding: Finding): string {
  const { source, line, section, key } = finding.location;
  const sectionPart = section === "" ? "" : ` [${section}]`;
  const keyPart = key === "" ? "" : ` ${key}`;
  return `${source}:${line}:${sectionPart}${keyPart}: ${finding.message}`;
}
