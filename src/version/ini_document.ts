/**
 * Parses INI text into sections with line numbers. The `ini` package parses
 * each line separately, because it would merge duplicate sections and keys.
 */

import { parse } from "ini";
import type { Finding, SourceLocation } from "./finding.ts";

/** A section of an INI source. */
export interface Section {
  readonly source: string;
  /** Text between the brackets. */
  readonly title: string;
  /** Line number of the header, from 1. */
  readonly line: number;
  readonly keyValues: readonly KeyValue[];
}

/** A key of a section with its text value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** The sections of a source and its syntax errors. */
export interface IniDocument {
  readonly sections: readonly Section[];
  readonly findings: readonly Finding[];
}

interface Block {
  readonly title: string;
  readonly line: number;
  readonly lines: readonly string[];
}

const HEADER_PATTERN = /^\s*\[(?<title>[^\]]*)\]\s*$/;

/** Parses `text`; `source` is its name in findings. */
export function parseIniDocument(source: string, text: string): IniDocument {
  const findings: Finding[] = [];
  const sections: Section[] = [];
  const seen = new Map<string, number>();
  for (const block of splitBlocks(text)) {
    const section = parseBlock(source, block, findings);
    if (section === undefined) continue;
    const earlier = seen.get(section.title);
    if (earlier !== undefined) {
      findings.push({
        location: sectionLocation(section),
        message: `duplicate section; already defined at line ${earlier}`,
      });
      continue;
    }
    seen.set(section.title, section.line);
    sections.push(section);
  }
  return { sections, findings };
}

/** Returns the location of a section's header. */
export function sectionLocation(section: Section): SourceLocation {
  return {
    source: section.source,
    line: section.line,
    section: section.title,
    key: "",
  };
}

/** Returns the location of a key, or of its section if the key is absent. */
export function keyLocation(section: Section, key: string): SourceLocation {
  const entry = section.keyValues.find((candidate) => candidate.key === key);
  return {
    ...sectionLocation(section),
    line: entry?.line ?? section.line,
    key,
  };
}

function splitBlocks(text: string): Block[] {
  const blocks: Block[] = [];
  let title = "";
  let start = 0;
  let lines: string[] = [];
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const header = HEADER_PATTERN.exec(line);
    if (header === null) {
      lines.push(line);
      continue;
    }
    blocks.push({ title, line: start, lines });
    title = (header.groups?.title ?? "").trim();
    start = index + 1;
    lines = [];
  }
  blocks.push({ title, line: start, lines });
  return blocks;
}

function parseBlock(
  source: string,
  block: Block,
  findings: Finding[],
): Section | undefined {
  const location = { source, line: block.line, section: block.title };
  const keyValues: KeyValue[] = [];
  const seen = new Set<string>();
  for (const [index, text] of block.lines.entries()) {
    const line = block.line + index + 1;
    for (const [key, value] of Object.entries(parse(text))) {
      if (seen.has(key)) {
        findings.push({
          location: { ...location, line, key },
          message: "duplicate key in this section",
        });
        continue;
      }
      seen.add(key);
      if (value === true && !text.includes("=")) {
        findings.push({
          location: { ...location, line, key },
          message: "expected key = value, got a key without a value",
        });
        continue;
      }
      keyValues.push({ key, value: String(value), line });
    }
  }
  if (block.title !== "") {
    return { source, title: block.title, line: block.line, keyValues };
  }
  for (const entry of keyValues) {
    findings.push({
      location: { ...location, line: entry.line, key: entry.key },
      message:
        "key outside of a section; expected a [section] header before it",
    });
  }
  return undefined;
}
