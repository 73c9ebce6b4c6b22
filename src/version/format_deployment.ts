/** Formats deployment objects as INI, the inverse of `parseDeployment`. */

import { stringify } from "ini";
import { objectKey } from "./check_objects.ts";
import { sortObjects } from "./chunks.ts";
import { OBJECT_FIELDS } from "./object_fields.ts";
import type { DeploymentObject } from "./types.ts";

/** Formats objects as INI text with one section per object. */
export function formatDeployment(
  objects: readonly DeploymentObject[],
): string {
  const sections = sortObjects(objects)
    .map((object) => [objectKey(object), formatSection(object)] as const);
  return stringify(Object.fromEntries(sections), { whitespace: true });
}

function formatSection(object: DeploymentObject): Record<string, string> {
  const values = new Map<string, unknown>(Object.entries(object));
  const pairs = OBJECT_FIELDS[object.kind]
    .map(({ key }) =>
      [key, formatValue(values.get(propertyName(key)))] as const
    )
    .filter(([, value]) => value !== "");
  return Object.fromEntries(pairs);
}

function formatValue(value: unknown): string {
  return Array.isArray(value) ? value.join(", ") : String(value ?? "");
}

function propertyName(key: string): string {
  return key.replace(/_(\w)/g, (_, letter: string) => letter.toUpperCase());
}
