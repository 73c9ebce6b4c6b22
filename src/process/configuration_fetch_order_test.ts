/** Tests where an entry asks for a configuration next. */

import { expect, test } from "vitest";
import type { EntryId } from "../ids.ts";
import { fetchOrder, type FetchSource } from "./configuration_fetch_order.ts";

function describeSource(source: FetchSource | undefined): string {
  if (source === undefined) return "none";
  return "peer" in source ? `${source.kind} ${source.peer}` : source.kind;
}

function take(
  order: Iterator<FetchSource | undefined>,
  count: number,
): string[] {
  return Array.from(
    { length: count },
    () => describeSource(order.next().value),
  );
}

test("two peers are asked for a small configuration, then the store, then all peers", () => {
  const peers = ["a", "b", "c"] as EntryId[];
  expect(take(fetchOrder(() => peers), 7)).toEqual([
    "peer_if_small a",
    "peer_if_small b",
    "store",
    "peer a",
    "peer b",
    "peer c",
    "none",
  ]);
});

test("the store is asked at once if no further peer has the configuration", () => {
  const peers = ["a"] as EntryId[];
  expect(take(fetchOrder(() => peers), 4)).toEqual([
    "peer_if_small a",
    "store",
    "peer a",
    "none",
  ]);
});

test("a peer that announces the configuration later is asked, the best one first", () => {
  let peers = ["a"] as EntryId[];
  const order = fetchOrder(() => peers);
  take(order, 4);
  peers = ["c", "b", "a"] as EntryId[];
  expect(take(order, 3)).toEqual(["peer c", "peer b", "none"]);
});
