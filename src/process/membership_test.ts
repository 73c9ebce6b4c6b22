/** Which registrations count as entries. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { isAddress } from "../connection/address.ts";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import type { ObjectRevision } from "../ids.ts";
import { listMembers } from "./membership.ts";

const REVISION = 1 as ObjectRevision;

function createObject(name: string, spec: unknown): StoredObject {
  return { name, revision: REVISION, spec, status: null };
}

function listSpecs(specs: readonly unknown[]) {
  const objects = specs.map((spec, at) => createObject(`entry-${at}`, spec));
  const list = () => Promise.resolve({ objects, revision: REVISION });
  return listMembers({ list } as unknown as ObjectStore);
}

test("a registration without an address that can be dialled is no entry", async () => {
  const valid = { address: "10.0.0.1:7200" };
  const invalid = [
    null,
    5,
    [],
    { address: 5 },
    { address: "" },
    { address: "10.0.0.1:99999" },
    { address: "999.0.0.1:80" },
    { address: "10.0.0.1:80/path" },
    { address: "host.example:80" },
  ];
  expect(await listSpecs([...invalid, valid])).toEqual([
    { entry: `entry-${invalid.length}`, address: valid.address },
  ]);
});

test("any registration names an address that can be dialled, or no entry", async () => {
  const address = fc.oneof(fc.jsonValue(), fc.constant("10.0.0.1:70000"));
  const spec = fc.oneof(fc.jsonValue(), fc.record({ address }));
  await fc.assert(
    fc.asyncProperty(spec, async (value) => {
      for (const member of await listSpecs([value])) {
        expect(isAddress(member.address)).toBe(true);
      }
    }),
  );
});
