/** Checks that the objects of a deployment fit together as one set. */

import { match } from "ts-pattern";
import type { Finding, SourceLocation } from "./finding.ts";
import type { LocatedObject } from "./parse_deployment.ts";
import { type DeploymentObject, ObjectKind, ServiceForm } from "./types.ts";

interface Reference {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly key: string;
}

const FLOOR_SUM_MAX_PERCENT = 100;

/** Returns every inconsistency of the whole set, with its place. */
export function checkObjects(placed: readonly LocatedObject[]): Finding[] {
  const names = new Set(placed.map(({ object }) => objectKey(object)));
  return [
    ...checkRepeats(placed),
    ...placed.flatMap((item) => checkReferences(item, names)),
    ...checkUnique(placed),
    ...checkServices(placed),
    ...checkFloors(placed),
  ];
}

/** Returns the text that names an object among all kinds. */
export function objectKey(
  object: { readonly kind: ObjectKind; readonly name: string },
): string {
  return `${object.kind} ${object.name}`;
}

function at(place: SourceLocation, key: string): SourceLocation {
  return { ...place, key };
}

/** The same object in two files; within one file the reader sees it. */
function checkRepeats(placed: readonly LocatedObject[]): Finding[] {
  const first = new Map<string, SourceLocation>();
  const findings: Finding[] = [];
  for (const { object, location: place } of placed) {
    const earlier = first.get(objectKey(object));
    if (earlier === undefined) {
      first.set(objectKey(object), place);
      continue;
    }
    const where = `${earlier.source}:${earlier.line}`;
    findings.push({
      location: place,
      message: `object stands already at ${where}`,
    });
  }
  return findings;
}

function checkReferences(
  { object, location: place }: LocatedObject,
  names: ReadonlySet<string>,
): Finding[] {
  return referencesOf(object)
    .filter((reference) => !names.has(objectKey(reference)))
    .map(({ kind, name, key }) => ({
      location: at(place, key),
      message: `refers to ${kind} "${name}", which is not in the set`,
    }));
}

function referencesOf(object: DeploymentObject): Reference[] {
  return match(object)
    .returnType<Reference[]>()
    .with({ kind: ObjectKind.Service }, (service) => {
      const rank = { kind: ObjectKind.Rank, name: service.rank, key: "rank" };
      if (service.form === ServiceForm.Plain) return [rank];
      return [rank, {
        kind: ObjectKind.Model,
        name: service.model,
        key: "model",
      }];
    })
    .with({ kind: ObjectKind.Customer }, (customer) => [
      ...customer.services.map((name) => ({
        kind: ObjectKind.Service,
        name,
        key: "services",
      })),
      ...customer.ranks.map((name) => ({
        kind: ObjectKind.Rank,
        name,
        key: "ranks",
      })),
    ])
    .with({ kind: ObjectKind.BackendServer }, (server) => [
      {
        kind: ObjectKind.AvailabilityZone,
        name: server.zone,
        key: "zone",
      },
      { kind: ObjectKind.Service, name: server.service, key: "service" },
    ])
    .otherwise(() => []);
}

/** Values that must differ between objects: addresses, keys, orders. */
function checkUnique(placed: readonly LocatedObject[]): Finding[] {
  const first = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { object, location: place } of placed) {
    const unique = uniqueValueOf(object);
    if (unique === undefined) continue;
    const id = `${object.kind} ${unique.key} ${unique.value}`;
    const earlier = first.get(id);
    if (earlier === undefined) {
      first.set(id, object.name);
      continue;
    }
    findings.push({
      location: at(place, unique.key),
      message: `same value as ${object.kind} "${earlier}"`,
    });
  }
  return findings;
}

function uniqueValueOf(
  object: DeploymentObject,
): { readonly key: string; readonly value: string } | undefined {
  return match(object)
    .with({ kind: ObjectKind.BackendServer }, ({ address }) => ({
      key: "address",
      value: address,
    }))
    .with({ kind: ObjectKind.Customer }, ({ keySha256 }) => ({
      key: "key_sha256",
      value: keySha256,
    }))
    .with({ kind: ObjectKind.Rank }, ({ order }) => ({
      key: "order",
      value: String(order),
    }))
    .otherwise(() => undefined);
}

function checkServices(placed: readonly LocatedObject[]): Finding[] {
  const findings: Finding[] = [];
  for (const { object, location: place } of placed) {
    if (object.kind !== ObjectKind.Service) continue;
    const isPlain = object.form === ServiceForm.Plain;
    if (isPlain && object.model !== "") {
      findings.push({
        location: at(place, "model"),
        message: "a plain service has no model",
      });
    }
    if (!isPlain && object.nonIdempotent.length > 0) {
      findings.push({
        location: at(place, "non_idempotent"),
        message: "only a plain service has non-idempotent calls",
      });
    }
  }
  return findings;
}

function checkFloors(placed: readonly LocatedObject[]): Finding[] {
  const ranks = placed.filter(({ object }) => object.kind === ObjectKind.Rank);
  const sum = ranks.reduce(
    (total, { object }) =>
      total + (object.kind === ObjectKind.Rank ? object.floorPercent : 0),
    0,
  );
  const last = ranks.at(-1);
  if (last === undefined || sum <= FLOOR_SUM_MAX_PERCENT) return [];
  return [{
    location: at(last.location, "floor_percent"),
    message:
      `floors of all ranks add up to ${sum}, at most ${FLOOR_SUM_MAX_PERCENT}`,
  }];
}
