/** Tests the status that is reconstructed from the logs of entries. */

import { expect, test } from "vitest";
import { EntryViewWriter, groupServersByState } from "./entry_view.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { NO_LOAD, type RegisteredServerView } from "./registered_server.ts";
import type { LogDetails } from "./log.ts";
import {
  areEntriesUpToDate,
  EntryState,
  formatLoggedStatus,
  parseLoggedStatus,
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
    event: LOG_EVENTS.entryView.number,
    configuration: 7,
    listed: "c0ffee",
    isReading: false,
    entries: 3,
    serving: 18,
    leaving: [],
    leavingCount: 0,
    ejected: [],
    ejectedCount: 0,
    blocked: [],
    blockedCount: 0,
    ...changes,
  };
}

test("formats the configuration, servers and state of each entry", () => {
  const status = parseLoggedStatus([
    line("edge-2", 1, view({ configuration: 5 })),
    line("edge-1", 1, view({ isReading: true })),
    line(
      "edge-1",
      4,
      view({
        ejected: ["i-4"],
        ejectedCount: 3,
        blocked: ["part s 5a"],
        blockedCount: 1,
      }),
    ),
    line("edge-3", 2, view()),
    line("edge-3", 3, { event: LOG_EVENTS.stopped.number }),
    line("edge-4", 4, { event: LOG_EVENTS.started.number }),
  ]);
  expect(formatLoggedStatus(status)).toEqual([
    "newest configuration in force: 7",
    "entry edge-1: running, configuration 7, server list c0ffee, 18 servers serving, 3 entries known",
    "  ejected: i-4 and 2 more",
    "  refused, crash servers: part s 5a",
    "entry edge-2: running, configuration 5 (behind), server list c0ffee, 18 servers serving, 3 entries known",
    "entry edge-3: stopped",
    "entry edge-4: running, no view logged since its start",
  ]);
  expect(areEntriesUpToDate(status)).toBe(false);
});

test("a restarted entry has no view until it logs one", () => {
  const { entries } = parseLoggedStatus([
    line("edge-1", 1, view()),
    line("edge-1", 2, { event: LOG_EVENTS.shutdownRequested.number }),
    line("edge-1", 3, { event: LOG_EVENTS.started.number }),
  ]);
  expect(entries).toEqual([{
    entry: "edge-1",
    life: EntryState.Running,
    lastLineMs: START_MS + 3_000,
    view: undefined,
  }]);
});

test("reports an entry as silent in any order of the log files", () => {
  const status = parseLoggedStatus([
    line("edge-1", 400, view()),
    line("edge-2", 10, view()),
  ]);
  expect(formatLoggedStatus(status)[2]).toContain("no log line for 390 s");
  expect(areEntriesUpToDate(status)).toBe(true);
});

test("counts lines that are not log lines and ignores invalid views", () => {
  const completeLine = line("edge-1", 1, view());
  const status = parseLoggedStatus([
    "starting up",
    completeLine.slice(0, -5),
    "null",
    JSON.stringify({ event: "x", program: 3, timestamp: "?" }),
    completeLine,
    line("edge-1", 2, view({ configuration: "seven" })),
    "",
  ]);
  expect(status.unreadable).toBe(4);
  expect(status.entries[0]?.view?.configuration).toBe(7);
});

test("without log lines the configuration is reported as none", () => {
  const status = parseLoggedStatus([]);
  expect(formatLoggedStatus(status)).toEqual([
    "newest configuration in force: none",
  ]);
});

test("a view is logged when it changes and at an interval, not in between", () => {
  const written: LogDetails[] = [];
  let configuration = 1;
  const writer = EntryViewWriter.create({
    log: (_, details = {}) => written.push(details),
    view: () => ({
      configuration,
      listed: "0",
      isReading: false,
      entries: 1,
      blocked: [],
      ...groupServersByState([], 0),
    }),
  });
  for (let check = 0; check < 30; check++) writer.writeIfChanged();
  expect(written.length).toBe(1);
  configuration = 2;
  for (let check = 0; check < 30; check++) writer.writeIfChanged();
  expect(written.length).toBe(2);
  writer.writeIfChanged();
  expect(written.length).toBe(3);
});

test("groups servers by whether they get new requests", () => {
  const server = (name: string, isLeaving: boolean, ejectedUntilMs: number) =>
    ({
      server: { name, isLeaving },
      ownLoad: NO_LOAD,
      peerLoad: NO_LOAD,
      ejectedUntilMs,
    }) as RegisteredServerView;
  const servers = [
    server("a", false, 0),
    server("b", true, 0),
    server("c", false, 2_000),
    server("d", false, 900),
  ];
  expect(groupServersByState(servers, 1_000)).toEqual({
    serving: 2,
    leaving: ["b"],
    ejected: ["c"],
  });
});
