/** Which bodies are refused when callers hold too many bytes. */

import { expect, test } from "vitest";
import { BodyPieces } from "./body_pieces.ts";
import { RequestBodies } from "./request_bodies.ts";

function createBodies(totalMaxBytes: number) {
  const clock = { nowMs: 0 };
  const bodies = RequestBodies.create({
    totalMaxBytes,
    now: () => clock.nowMs,
  });
  const evicted: string[] = [];
  const open = (name: string, bytes: number) => {
    const body = bodies.open();
    body.onEvicted = () => evicted.push(name);
    body.add(bytes);
    return body;
  };
  return { bodies, clock, evicted, open };
}

test("the body that has held most for longest is refused first", () => {
  const { bodies, clock, evicted, open } = createBodies(100);
  open("small", 10);
  open("large", 50);
  clock.nowMs = 10;
  open("new", 39);
  open("newest", 20);
  expect(evicted).toEqual(["large"]);
  expect(bodies.totalBytes).toBe(69);
});

test("complete bodies are kept, and the one that exceeds the limit is refused", () => {
  const { bodies, evicted, open } = createBodies(100);
  open("complete", 90).markComplete();
  open("new", 20);
  expect(evicted).toEqual(["new"]);
  expect(bodies.totalBytes).toBe(90);
});

test("bodies of requests that have ended count for nothing", () => {
  const { bodies, evicted, open } = createBodies(100);
  const first = open("first", 90);
  first.markComplete();
  first.close();
  first.close();
  open("second", 90);
  expect(evicted).toEqual([]);
  expect(bodies.totalBytes).toBe(90);
});

test("a body is collected from pieces of any size", () => {
  const pieces = BodyPieces.create();
  const sizes = [1, 5_000, 3, 4_095, 4_096, 70_000, 0, 2];
  const expected = sizes.map((size, at) => Buffer.alloc(size, `${at}`));
  for (const piece of expected) pieces.append(piece);
  expect(pieces.length).toBe(Buffer.concat(expected).length);
  expect(pieces.take()).toEqual(Buffer.concat(expected));
  expect(pieces.take()).toHaveLength(0);
});
