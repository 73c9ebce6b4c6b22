/** Responses under way stay within their limits. */

import { expect, test } from "vitest";
import { GrowableBuffer } from "./growable_buffer.ts";
import { ResponseBuffers } from "./response_buffers.ts";

const LIMITS = { responseMaxBytes: 100, totalMaxBytes: 150 };

test("a response is returned whole", () => {
  const buffers = ResponseBuffers.create(LIMITS);
  const buffer = buffers.open();
  buffer.append(Buffer.from("wh"));
  buffer.append(Buffer.from("ole"));
  expect(buffers.totalBytes).toBe(5);
  expect(buffer.take().toString()).toBe("whole");
  expect(buffers.totalBytes).toBe(0);
});

test("a response beyond its own limit is dropped", () => {
  const buffers = ResponseBuffers.create(LIMITS);
  const large = buffers.open();
  large.append(Buffer.alloc(100));
  expect(() => large.append(Buffer.alloc(1))).toThrow("exceeds 100 bytes");
  large.close();
  const limited = buffers.open(10);
  expect(() => limited.append(Buffer.alloc(11))).toThrow("exceeds 10 bytes");
  expect(() => limited.checkLength(11)).toThrow("exceeds 10 bytes");
  limited.close();
  expect(buffers.totalBytes).toBe(0);
});

test("beyond the common limit the largest response is dropped", () => {
  const buffers = ResponseBuffers.create(LIMITS);
  const large = buffers.open();
  const small = buffers.open();
  large.append(Buffer.alloc(90));
  small.append(Buffer.alloc(60));
  small.append(Buffer.alloc(1));
  expect(buffers.totalBytes).toBe(61);
  expect(() => large.append(Buffer.alloc(1))).toThrow("exceeds 150 bytes");
  expect(() => large.take()).toThrow("exceeds 150 bytes");
  large.close();
  expect(small.take()).toHaveLength(61);
  expect(buffers.totalBytes).toBe(0);
});

test("a response of single bytes takes little more memory than its bytes", () => {
  const count = 1_000_000;
  const buffer = GrowableBuffer.create();
  const byte = Buffer.from("x");
  const before = process.memoryUsage();
  for (let at = 0; at < count; at++) buffer.append(byte);
  const after = process.memoryUsage();
  expect(buffer.length).toBe(count);
  // Outgrown buffers may not have been collected yet.
  expect(after.arrayBuffers - before.arrayBuffers).toBeLessThan(5 * count);
  expect(buffer.take()).toHaveLength(count);
});
