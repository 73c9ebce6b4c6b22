/** Checked fields of INI sections, shared by settings and deployment objects. */

import type { Finding } from "./finding.ts";
import { keyLocation, type KeyValue, type Section } from "./ini_document.ts";

/** How a field's text is read. */
export enum FieldType {
  Text = "text",
  Integer = "integer",
  List = "list",
  Address = "address",
  Choice = "choice",
}

/** One key that a section may hold. */
export interface Field {
  readonly key: string;
  readonly type: FieldType;
  /** Value when the key is absent; without one the key is required. */
  readonly defaultValue?: string;
  readonly min?: number;
  readonly max?: number;
  readonly choices?: readonly string[];
  /** What the text must match, and how to say so. */
  readonly pattern?: { readonly expression: RegExp; readonly says: string };
}

/** The checked values of one section, read by key. */
export class FieldValues {
  readonly #texts: ReadonlyMap<string, string>;

  private constructor(texts: ReadonlyMap<string, string>) {
    this.#texts = texts;
  }

  /** Holds `texts`, which must have passed their fields' checks. */
  static create(texts: ReadonlyMap<string, string>): FieldValues {
    return new FieldValues(texts);
  }

  /** Returns the text of a key, empty when it is unknown. */
  text(key: string): string {
    return this.#texts.get(key) ?? "";
  }

  /** Returns the number of a key. */
  integer(key: string): number {
    return Number(this.text(key));
  }

  /** Returns the comma-separated parts of a key. */
  list(key: string): readonly string[] {
    return splitList(this.text(key));
  }
}

const ADDRESS = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;
const PORT_MAX = 65_535;

/** Reads a section by its fields; adds every violation to `findings`. */
export function parseFields(
  section: Section,
  fields: readonly Field[],
  findings: Finding[],
): FieldValues {
  const known = new Set(fields.map((field) => field.key));
  for (const entry of section.keyValues) {
    if (known.has(entry.key)) continue;
    findings.push({
      location: keyLocation(section, entry.key),
      message: `unknown key; allowed: ${[...known].join(", ")}`,
    });
  }
  const texts = new Map<string, string>();
  for (const field of fields) {
    const entry = section.keyValues.find(({ key }) => key === field.key);
    const problem = checkField(field, entry);
    if (problem !== undefined) {
      const place = keyLocation(section, field.key);
      findings.push({ location: place, message: problem });
    }
    texts.set(field.key, entry?.value ?? field.defaultValue ?? "");
  }
  return FieldValues.create(texts);
}

function checkField(
  field: Field,
  entry: KeyValue | undefined,
): string | undefined {
  if (entry === undefined) {
    return field.defaultValue === undefined
      ? "required key is missing"
      : undefined;
  }
  const { value } = entry;
  if (field.pattern !== undefined && !field.pattern.expression.test(value)) {
    return `${field.pattern.says}, got "${value}"`;
  }
  switch (field.type) {
    case FieldType.Text:
      return value === "" ? "must not be empty" : undefined;
    case FieldType.List:
      return undefined;
    case FieldType.Integer:
      return checkInteger(field, value);
    case FieldType.Address:
      return checkAddress(value);
    case FieldType.Choice:
      return checkChoice(field, value);
  }
}

function checkInteger(field: Field, value: string): string | undefined {
  const min = field.min ?? 0;
  const max = field.max ?? Number.MAX_SAFE_INTEGER;
  const number = Number(value);
  const valid = /^-?\d+$/.test(value) && number >= min && number <= max;
  if (valid) return undefined;
  return `must be a whole number from ${min} to ${max}, got "${value}"`;
}

function checkAddress(value: string): string | undefined {
  const port = Number(value.slice(value.lastIndexOf(":") + 1));
  if (ADDRESS.test(value) && port > 0 && port <= PORT_MAX) return undefined;
  return `must be IP:port with a port from 1 to ${PORT_MAX}, got "${value}"`;
}

function checkChoice(field: Field, value: string): string | undefined {
  const choices = field.choices ?? [];
  if (choices.includes(value)) return undefined;
  return `must be one of ${choices.join(", ")}, got "${value}"`;
}

function splitList(text: string): string[] {
  return text.split(",").map((part) => part.trim()).filter((part) =>
    part !== ""
  );
}
