/** Writes deployment objects as INI, the inverse of reading them. */

import { stringify } from "ini";
import { objectKey } from "./check_objects.ts";
import { sortObjects } from "./chunks.ts";
import { OBJECT_FIELDS } from "./object_fields.ts";
import type { DeploymentObject } from "./types.ts";

/** Returns the INI text of objects, one section each. */
export function formatDeployment(
  objects: readonly DeploymentObject[],
): string {
  const sections = sortObjects(objects)
    .map((object) => [objectKey(object), sectionOf(object)] as const);
  return stringify(Object.fromEntries(sections), { whitespace: true });
}

function sectionOf(object: DeploymentObject): Record<string, string> {
  const values = new Map<string, unknown>(Object.entries(object));
  const pairs = OBJECT_FIELDS[object.kind]
    .map(({ key }) => [key, formatValue(values.get(propertyOf(key)))] as const)
    .filter(([, value]) => value !== "");
  return Object.fromEntries(pairs);
}

function formatValue(value: unknown): string {
  return Array.isArray(value) ? value.join(", ") : String(value ?? "");
}

function propertyOf(key: string): string {
  return key.replace(/_(\w)/g, (_, letter: string) => letter.toUpperCase());
}
