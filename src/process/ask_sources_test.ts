/** Tests when the next source is asked, and which answer counts. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { askSources, type Source } from "./ask_sources.ts";

const OVERDUE_MS = 100;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Asks sources that answer after a time; returns who was asked, and when. */
function ask(answers: readonly (readonly [answer: string, afterMs: number])[]) {
  const startMs = Date.now();
  const asked: string[] = [];
  const sources = answers.map(([answer, afterMs]): Source<string> => ({
    overdueMs: OVERDUE_MS,
    ask: () => {
      asked.push(`${answer || "none"} at ${Date.now() - startMs}`);
      return new Promise((resolve) =>
        setTimeout(() => resolve(answer || undefined), afterMs)
      );
    },
  }));
  const found = askSources(sources.values()).then((answer) =>
    `${answer} at ${Date.now() - startMs}`
  );
  return { asked, found };
}

test.each(
  [
    [
      "a source that answers in time is asked alone",
      [["a", 50], ["b", 10]],
      ["a at 0"],
      "a at 50",
    ],
    [
      "the next source is asked as soon as one has nothing",
      [["", 20], ["b", 10]],
      ["none at 0", "b at 20"],
      "b at 30",
    ],
    [
      "the next source is asked beside one that is overdue",
      [["a", 1_000], ["b", 10]],
      ["a at 0", "b at 100"],
      "b at 110",
    ],
    [
      "an overdue source that answers first counts",
      [["a", 150], ["b", 900]],
      ["a at 0", "b at 100"],
      "a at 150",
    ],
    [
      "an answer at the same moment as a failure counts",
      [["", 200], ["b", 100]],
      ["none at 0", "b at 100"],
      "b at 200",
    ],
    [
      "the last source is waited for",
      [["", 20], ["", 700]],
      ["none at 0", "none at 20"],
      "undefined at 720",
    ],
  ] as const,
)("%s", async (_, answers, expectedAsked, expectedFound) => {
  const { asked, found } = ask(answers);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(await found).toBe(expectedFound);
  expect(asked).toEqual(expectedAsked);
});

test("a source that becomes known while others are silent is asked", async () => {
  const known: Source<string>[] = [
    { overdueMs: OVERDUE_MS, ask: () => new Promise(() => undefined) },
  ];
  function* sources() {
    while (true) yield known.shift();
  }
  const found = askSources(sources());
  await vi.advanceTimersByTimeAsync(250);
  known.push({ overdueMs: OVERDUE_MS, ask: () => Promise.resolve("late") });
  await vi.advanceTimersByTimeAsync(100);
  expect(await found).toBe("late");
});
