/** Checks the consistency of the objects of a deployment. */

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

/** Returns all inconsistencies of a deployment with their locations. */
export function checkObjects(located: readonly LocatedObject[]): Finding[] {
  const names = new Set(located.map(({ object }) => objectKey(object)));
  return [
    ...checkDuplicates(located),
    ...located.flatMap((item) => checkReferences(item, names)),
    ...checkUnique(located),
    ...checkServices(located),
    ...checkFloors(located),
  ];
}

/** Returns a key that is unique among objects of all kinds. */
export function objectKey(
  object: { readonly kind: ObjectKind; readonly name: string },
): string {
  return `${object.kind} ${object.name}`;
}

function withKey(location: SourceLocation, key: string): SourceLocation {
  return { ...location, key };
}

/** Finds objects defined in two files; the INI parser finds those in one. */
function checkDuplicates(located: readonly LocatedObject[]): Finding[] {
  const first = new Map<string, SourceLocation>();
  const findings: Finding[] = [];
  for (const { object, location } of located) {
    const earlier = first.get(objectKey(object));
    if (earlier === undefined) {
      first.set(objectKey(object), location);
      continue;
    }
    const firstLocation = `${earlier.source}:${earlier.line}`;
    findings.push({
      location,
      message: `duplicate object; already defined at ${firstLocation}`,
    });
  }
  return findings;
}

function checkReferences(
  { object, location }: LocatedObject,
  names: ReadonlySet<string>,
): Finding[] {
  return referencesOf(object)
    .filter((reference) => !names.has(objectKey(reference)))
    .map(({ kind, name, key }) => ({
      location: withKey(location, key),
      message: `refers to ${kind} "${name}", which is not defined`,
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

/** Checks addresses, bearer keys and rank orders, which must be unique. */
function checkUnique(located: readonly LocatedObject[]): Finding[] {
  const first = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { object, location } of located) {
    const uniqueValue = uniqueValueOf(object);
    if (uniqueValue === undefined) continue;
    const id = `${object.kind} ${uniqueValue.key} ${uniqueValue.value}`;
    const earlier = first.get(id);
    if (earlier === undefined) {
      first.set(id, object.name);
      continue;
    }
    findings.push({
      location: withKey(location, uniqueValue.key),
      message: `must be unique; ${object.kind} "${earlier}" has the same value`,
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

function checkServices(located: readonly LocatedObject[]): Finding[] {
  const findings: Finding[] = [];
  for (const { object, location } of located) {
    if (object.kind !== ObjectKind.Service) continue;
    const isPlain = object.form === ServiceForm.Plain;
    if (isPlain && object.model !== "") {
      findings.push({
        location: withKey(location, "model"),
        message: "not allowed for a plain service",
      });
    }
    if (!isPlain && object.nonIdempotent.length > 0) {
      findings.push({
        location: withKey(location, "non_idempotent"),
        message: "only allowed for a plain service",
      });
    }
  }
  return findings;
}

function checkFloors(located: readonly LocatedObject[]): Finding[] {
  const ranks = located.filter(({ object }) => object.kind === ObjectKind.Rank);
  const sum = ranks.reduce(
    (total, { object }) =>
      total + (object.kind === ObjectKind.Rank ? object.floorPercent : 0),
    0,
  );
  const last = ranks.at(-1);
  if (last === undefined || sum <= FLOOR_SUM_MAX_PERCENT) return [];
  return [{
    location: withKey(last.location, "floor_percent"),
    message:
      `sum over all ranks is ${sum}, must be at most ${FLOOR_SUM_MAX_PERCENT}`,
  }];
}
