/** Collecting a body from pieces. */

import { expect, test } from "vitest";
import { BodyBuffer, freeBody } from "./body_buffer.ts";

test("a body is collected from pieces of any size", () => {
  const collected = BodyBuffer.create(1_000_000);
  const sizes = [1, 5_000, 3, 4_095, 4_096, 70_000, 0, 2];
  const expected = sizes.map((size, at) => Buffer.alloc(size, `${at}`));
  for (const piece of expected) collected.append(piece);
  expect(collected.length).toBe(Buffer.concat(expected).length);
  expect(collected.take().equals(Buffer.concat(expected))).toBe(true);
  expect(collected.take()).toHaveLength(0);
});

test("a body of the largest size fits", () => {
  const collected = BodyBuffer.create(100_001);
  collected.append(Buffer.alloc(100_000, "a"));
  collected.append(Buffer.from("b"));
  expect(collected.take().subarray(-2).toString()).toBe("ab");
});

test("a freed body has no bytes, and a small one stays", () => {
  const collected = BodyBuffer.create(1_000_000);
  collected.append(Buffer.alloc(100_000, "a"));
  const large = collected.take();
  freeBody(large);
  expect(large).toHaveLength(0);
  const small = Buffer.from("small");
  freeBody(small);
  expect(small.toString()).toBe("small");
});
