/** The catalogue in the docs is the one in the code. */

import { expect, test } from "vitest";
import { EVENTS } from "./event_catalog.ts";

test("docs/EVENTS.md lists every event", async () => {
  const rows = Object.values(EVENTS).map(({ number, severity, text, action }) =>
    `| ${number} | ${severity} | ${text} | ${action} |`
  );
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
  const numbers = Object.values(EVENTS).map(({ number }) => number);
  expect(new Set(numbers).size).toBe(numbers.length);
});
