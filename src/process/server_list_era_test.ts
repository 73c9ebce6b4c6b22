/**
 * The server lists of several entries beside a store that comes back from older
 * copies: over random histories, and changes that arrive late and in any order.
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import { withEra } from "../connection/store_era.ts";
import type { ServerChangeRecord } from "../gossip/peer_protocol.ts";
import type { ObjectRevision } from "../ids.ts";
import type { RegisteredServer } from "./registered_server.ts";
import { ServerList } from "./server_list.ts";

const NAMES = ["i-1", "i-2", "i-3"];
const ENTRIES = 3;

type Step =
  | {
    readonly kind: "write";
    readonly name: string;
    readonly isListed: boolean;
  }
  | { readonly kind: "restore"; readonly changes: number }
  | { readonly kind: "list"; readonly entry: number }
  | { readonly kind: "gossip"; readonly from: number; readonly to: number };

const entry = fc.nat({ max: ENTRIES - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant("write" as const),
    name: fc.constantFrom(...NAMES),
    isListed: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("restore" as const),
    changes: fc.integer({ min: 1, max: 5 }),
  }),
  fc.record({ kind: fc.constant("list" as const), entry }),
  fc.record({ kind: fc.constant("gossip" as const), from: entry, to: entry }),
);

/** A store with its history, the last state at the end. */
class Store {
  era = 1;
  #states: ReadonlyMap<string, number>[] = [new Map()];

  write(name: string, isListed: boolean): void {
    const state = new Map(this.#states.at(-1));
    if (isListed) state.set(name, this.#states.length);
    else state.delete(name);
    this.#states.push(state);
  }

  restore(changes: number): void {
    this.#states = this.#states.slice(
      0,
      Math.max(1, this.#states.length - changes),
    );
    this.era++;
  }

  list(): {
    readonly changes: readonly ServerChangeRecord[];
    readonly revision: ObjectRevision;
  } {
    const changes = [...this.#states.at(-1) ?? []].map(([name, revision]) => ({
      name,
      revision: this.#encode(revision),
      server: { name } as RegisteredServer,
    }));
    return { changes, revision: this.#encode(this.#states.length - 1) };
  }

  #encode(revision: number): ObjectRevision {
    return withEra(this.era, revision) as ObjectRevision;
  }
}

function applyList(list: ServerList, store: Store): void {
  const { changes, revision } = store.list();
  for (const change of changes) list.apply(change);
  const names = new Set(changes.map(({ name }) => name));
  for (const missing of list.missing(names, revision)) {
    list.apply({ ...missing, server: null });
  }
  list.markLoaded();
}

test("each entry ends with the store's list, whatever it heard before", () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const store = new Store();
      const lists = Array.from(
        { length: ENTRIES },
        () => ServerList.create({ now: () => 0 }),
      );
      for (const list of lists) applyList(list, store);
      for (const taken of steps) {
        if (taken.kind === "write") store.write(taken.name, taken.isListed);
        if (taken.kind === "restore") store.restore(taken.changes);
        if (taken.kind === "list") applyList(lists[taken.entry]!, store);
        if (taken.kind === "gossip") {
          const { news } = lists[taken.from]!.changesAfter(0);
          for (const change of news) lists[taken.to]!.apply(change);
        }
      }
      for (const list of lists) applyList(list, store);
      const { changes } = store.list();
      for (const list of lists) {
        const listed = NAMES.filter((name) => list.find(name)?.server);
        expect(listed).toEqual(changes.map(({ name }) => name).toSorted());
      }
      expect(new Set(lists.map(({ checksum }) => checksum)).size).toBe(1);
    }),
    { numRuns: 2_000 },
  );
});
