/** How often an unusable registration is logged. */

import { expect, test } from "vitest";
import type { LogDetails } from "./log.ts";
import { UnusableRegistrations } from "./unusable_registrations.ts";

const FIELD = { field: "slots", expected: "a whole number", found: '"x"' };

function createRegistrations() {
  const lines: LogDetails[] = [];
  const registrations = UnusableRegistrations.create((_, details = {}) => {
    lines.push(details);
  });
  return { lines, registrations };
}

test("an unusable registration is logged once until it changes", () => {
  const { lines, registrations } = createRegistrations();
  for (let heartbeat = 0; heartbeat < 10; heartbeat++) {
    registrations.record("i-1", { ...FIELD, found: String(heartbeat) });
  }
  expect(lines).toEqual([{ registration: "i-1", ...FIELD, found: "0" }]);
  registrations.record("i-1", { ...FIELD, field: "zone" });
  registrations.forget("i-1");
  registrations.record("i-1", FIELD);
  expect(lines.length).toBe(3);
});

test("the log of unusable registrations is bounded in names and memory", () => {
  const { lines, registrations } = createRegistrations();
  for (let name = 0; name <= 1_000; name++) {
    registrations.record(`${name}${"x".repeat(1_000)}`, FIELD);
  }
  expect(String(lines.at(-1)?.registration).length).toBe(80);
  // The oldest one is forgotten, and so logged again.
  registrations.record(`0${"x".repeat(1_000)}`, FIELD);
  expect(lines.length).toBe(1_002);
});
