/** The catalogue in the docs is the one in the code. */

import { expect, test } from "vitest";
import { LOG_EVENTS } from "./log_events.ts";

test("docs/EVENTS.md lists every event", async () => {
  const rows = Object.values(LOG_EVENTS).map((
    { number, severity, text, action },
  ) => `| ${number} | ${severity} | ${text} | ${action} |`);
  const page = [
    "# Events",
    "",
    "Each log line is one JSON object on standard output; `event` holds the number.",
    "Numbers stay the same for good. `gypsumridge events` prints this list.",
    "",
    "| number | severity | event | what an operator does |",
    "| --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
  await expect(page).toMatchFileSnapshot("../../docs/EVENTS.md");
});

test("no number stands twice", () => {
  const numbers = Object.values(LOG_EVENTS).map(({ number }) => number);
  expect(new Set(numbers).size).toBe(numbers.length);
});
