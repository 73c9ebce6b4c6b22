/** Validation of INI sections, for settings and deployment objects. */

import type { Finding } from "./finding.ts";
import { keyLocation, type KeyValue, type Section } from "./ini_document.ts";

/** Type of a field's value. */
export enum FieldType {
  Text = "text",
  Integer = "integer",
  List = "list",
  Address = "address",
  Choice = "choice",
}

/** A key that a section may contain. */
export interface Field {
  readonly key: string;
  readonly type: FieldType;
  /** Value of an absent key; a field without a default is required. */
  readonly defaultValue?: string;
  readonly min?: number;
  readonly max?: number;
  readonly choices?: readonly string[];
  /** Expression that the text must match, and the message if it does not. */
  readonly pattern?: {
    readonly expression: RegExp;
    readonly requirement: string;
  };
}

/** The validated values of one section, by key. */
export class FieldValues {
  readonly #texts: ReadonlyMap<string, string>;

  private constructor(texts: ReadonlyMap<string, string>) {
    this.#texts = texts;
  }

  /** Wraps `texts`, which must have been validated against their fields. */
  static create(texts: ReadonlyMap<string, string>): FieldValues {
    return new FieldValues(texts);
  }

  /** Returns the text of a key; empty if the section has no such field. */
  text(key: string): string {
    return this.#texts.get(key) ?? "";
  }

  /** Returns the value of an integer field. */
  integer(key: string): number {
    return Number(this.text(key));
  }

  /** Returns the comma-separated items of a list field. */
  list(key: string): readonly string[] {
    return splitList(this.text(key));
  }
}

const ADDRESS = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;
const PORT_MAX = 65_535;

/** Validates a section against its fields; adds all errors to `findings`. */
export function parseFields(
  section: Section,
  fields: readonly Field[],
  findings: Finding[],
): FieldValues {
  const knownKeys = new Set(fields.map((field) => field.key));
  for (const keyValue of section.keyValues) {
    if (knownKeys.has(keyValue.key)) continue;
    findings.push({
      location: keyLocation(section, keyValue.key),
      message: `unknown key; allowed: ${[...knownKeys].join(", ")}`,
    });
  }
  const texts = new Map<string, string>();
  for (const field of fields) {
    const keyValue = section.keyValues.find(({ key }) => key === field.key);
    const problem = checkField(field, keyValue);
    if (problem !== undefined) {
      const location = keyLocation(section, field.key);
      findings.push({ location, message: problem });
    }
    texts.set(field.key, keyValue?.value ?? field.defaultValue ?? "");
  }
  return FieldValues.create(texts);
}

function checkField(
  field: Field,
  keyValue: KeyValue | undefined,
): string | undefined {
  if (keyValue === undefined) {
    return field.defaultValue === undefined
      ? "required key is missing"
      : undefined;
  }
  const { value } = keyValue;
  if (field.pattern !== undefined && !field.pattern.expression.test(value)) {
    return `${field.pattern.requirement}, got "${value}"`;
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
  const isValid = /^-?\d+$/.test(value) && number >= min && number <= max;
  if (isValid) return undefined;
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
