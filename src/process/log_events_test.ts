/** Tests that docs/EVENTS.md and the event list match. */

import { expect, test } from "vitest";
import { LOG_EVENTS } from "./log_events.ts";

test("docs/EVENTS.md matches the event list", async () => {
  const rows = Object.values(LOG_EVENTS).map((
    { number, severity, text, action },
  ) => `| ${number} | ${severity} | ${text} | ${action} |`);
  const page = [
    "# Events",
    "",
    "Each log line is one JSON object on standard output; `event` holds the number.",
    "Numbers never change. `gypsumridge events` prints this list.",
    "",
    "| number | severity | event | operator action |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
  await expect(page).toMatchFileSnapshot("../../docs/EVENTS.md");
});

test("event numbers are unique", () => {
  const numbers = Object.values(LOG_EVENTS).map(({ number }) => number);
  expect(new Set(numbers).size).toBe(numbers.length);
});
