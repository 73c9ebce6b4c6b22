/** Which callers yield when all together hold too much. */

import { expect, test } from "vitest";
import { CallerAccount } from "./caller_account.ts";

function createAccount(maxBytes: number) {
  const clock = { nowMs: 0 };
  const account = CallerAccount.create({ maxBytes, now: () => clock.nowMs });
  const yielded: string[] = [];
  const open = (name: string, bytes: number) => {
    const holding = account.open(() => yielded.push(name));
    holding.setBytes(bytes);
    return holding;
  };
  return { account, clock, yielded, open };
}

test("the caller that has held most for longest yields first", () => {
  const { account, clock, yielded, open } = createAccount(100);
  open("small", 10);
  open("large", 50);
  clock.nowMs = 10;
  open("new", 39);
  open("newest", 20);
  expect(yielded).toEqual(["large"]);
  expect(account.totalBytes).toBe(69);
});

test("requests at servers are kept, and the caller that exceeds the limit yields", () => {
  const { account, yielded, open } = createAccount(100);
  expect(open("at a server", 70).keep()).toBe(true);
  open("new", 40);
  expect(yielded).toEqual(["new"]);
  expect(account.totalBytes).toBe(70);
});

test("complete requests that were not sent yield like others", () => {
  const { yielded, open } = createAccount(100);
  open("complete", 90);
  open("new", 20);
  expect(yielded).toEqual(["complete"]);
});

test("callers that have ended count for nothing", () => {
  const { account, yielded, open } = createAccount(100);
  const first = open("first", 70);
  first.keep();
  first.close();
  first.close();
  open("second", 90);
  expect(yielded).toEqual([]);
  expect(account.totalBytes).toBe(90);
});

test("a caller that waits long with little does not yield beside a crowd", () => {
  const { clock, yielded, open } = createAccount(1_000);
  open("ordinary", 10);
  clock.nowMs = 20_000;
  for (let at = 0; at < 50; at++) open(`crowd ${at}`, 100);
  expect(yielded).toHaveLength(41);
  expect(yielded).not.toContain("ordinary");
});

test("requests at servers leave a part of the limit to others", () => {
  const mb = 1_048_576;
  const { open } = createAccount(10 * mb);
  expect(open("first", 7 * mb).keep()).toBe(true);
  expect(open("large", mb).keep()).toBe(false);
  expect(open("small", 10_000).keep()).toBe(true);
});

test("a kept caller can yield again once its response is written", () => {
  const { yielded, open } = createAccount(100);
  const holding = open("unread", 70);
  holding.keep();
  holding.unkeep();
  open("new", 40);
  expect(yielded).toEqual(["unread"]);
});
