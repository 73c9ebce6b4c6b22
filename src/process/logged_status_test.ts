/** What entries wrote to their logs, read back for an operator. */

import { expect, test } from "vitest";
import { EntryViewWriter, groupServers } from "./entry_view.ts";
import { EVENTS } from "./event_catalog.ts";
import { type LiveServerView, NO_LOAD } from "./live_server.ts";
import type { LogDetails } from "./log.ts";
import {
  areEntriesCurrent,
  EntryLife,
  formatLoggedStatus,
  restoreLoggedStatus,
} from "./logged_status.ts";

const START_MS = Date.parse("2026-01-01T00:00:00.000Z");

function line(
  program: string,
  atS: number,
  details: Readonly<Record<string, unknown>>,
): string {
  const timestamp = new Date(START_MS + atS * 1_000).toISOString();
  return JSON.stringify({ program, timestamp, ...details });
}

function view(changes: Readonly<Record<string, unknown>> = {}) {
  return {
    event: EVENTS.entryView.number,
    configuration: 7,
    listed: "c0ffee",
    isReading: false,
    entries: 3,
    serving: 18,
    leaving: [],
    leavingCount: 0,
    ejected: [],
    ejectedCount: 0,
    ...changes,
  };
}

test("names the version, the servers and the state of each entry", () => {
  const status = restoreLoggedStatus([
    line("edge-2", 1, view({ configuration: 5 })),
    line("edge-1", 1, view({ isReading: true })),
    line("edge-1", 4, view({ ejected: ["i-4"], ejectedCount: 3 })),
    line("edge-3", 2, view()),
    line("edge-3", 3, { event: EVENTS.stopped.number }),
    line("edge-4", 4, { event: EVENTS.started.number }),
  ]);
  expect(formatLoggedStatus(status)).toEqual([
    "newest configuration in force: 7",
    "entry edge-1: running, configuration 7, server list c0ffee, 18 servers serving, knows of 3 entries",
    "  ejected: i-4 and 2 more",
    "entry edge-2: running, configuration 5 (behind), server list c0ffee, 18 servers serving, knows of 3 entries",
    "entry edge-3: stopped",
    "entry edge-4: running, has not said what it knows",
  ]);
  expect(areEntriesCurrent(status)).toBe(false);
});

test("an entry that started again knows nothing of what it wrote before", () => {
  const { entries } = restoreLoggedStatus([
    line("edge-1", 1, view()),
    line("edge-1", 2, { event: EVENTS.stopRequested.number }),
    line("edge-1", 3, { event: EVENTS.started.number }),
  ]);
  expect(entries).toEqual([{
    entry: "edge-1",
    life: EntryLife.Running,
    heardMs: START_MS + 3_000,
    view: undefined,
  }]);
});

test("silence of an entry shows, whatever the order of the files", () => {
  const status = restoreLoggedStatus([
    line("edge-1", 400, view()),
    line("edge-2", 10, view()),
  ]);
  expect(formatLoggedStatus(status)[2]).toContain("silent for 390 s");
  expect(areEntriesCurrent(status)).toBe(true);
});

test("other lines, cut lines and damaged views are counted and hurt nothing", () => {
  const whole = line("edge-1", 1, view());
  const status = restoreLoggedStatus([
    "starting up",
    whole.slice(0, -5),
    "null",
    JSON.stringify({ event: "x", program: 3, timestamp: "?" }),
    whole,
    line("edge-1", 2, view({ configuration: "seven" })),
    "",
  ]);
  expect(status.unreadable).toBe(4);
  expect(status.entries[0]?.view?.configuration).toBe(7);
});

test("no log at all is said so", () => {
  const status = restoreLoggedStatus([]);
  expect(formatLoggedStatus(status)).toEqual([
    "newest configuration in force: none",
  ]);
});

test("a view is written when it changes and at an interval, and not between", () => {
  const written: LogDetails[] = [];
  let configuration = 1;
  const writer = EntryViewWriter.create({
    log: (_, details = {}) => written.push(details),
    view: () => ({
      configuration,
      listed: "0",
      isReading: false,
      entries: 1,
      ...groupServers([], 0),
    }),
  });
  for (let check = 0; check < 30; check++) writer.check();
  expect(written.length).toBe(1);
  configuration = 2;
  for (let check = 0; check < 30; check++) writer.check();
  expect(written.length).toBe(2);
  writer.check();
  expect(written.length).toBe(3);
});

test("servers are told apart by whether they get new work", () => {
  const server = (name: string, isLeaving: boolean, avoidUntilMs: number) =>
    ({
      server: { name, isLeaving },
      own: NO_LOAD,
      others: NO_LOAD,
      avoidUntilMs,
    }) as LiveServerView;
  const servers = [
    server("a", false, 0),
    server("b", true, 0),
    server("c", false, 2_000),
    server("d", false, 900),
  ];
  expect(groupServers(servers, 1_000)).toEqual({
    serving: 2,
    leaving: ["b"],
    ejected: ["c"],
  });
});
