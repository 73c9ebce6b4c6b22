/** Tests what a server's report means for a stalled run. */

import { expect, test } from "vitest";
import { createServer } from "../../tests/relay/scripted.ts";
import type { ServerReport } from "../connection/backend_report.ts";
import { classifyStall, StallVerdict } from "./stall_policy.ts";

const REPORT: ServerReport = {
  startedMs: 1,
  waiting: 0,
  prefilling: 0,
  runs: new Map(),
};
const RUN = {
  id: "request-1",
  server: createServer("a1"),
  eventCount: 3,
  isOverdue: false,
  absentReports: 1,
};
const listed = (events: number) => ({
  runs: new Map([["request-1", { events }]]),
});

test.for([
  { what: "in progress", report: listed(3), verdict: StallVerdict.Alive },
  { what: "far ahead", report: listed(9), verdict: StallVerdict.Late },
  { what: "not listed twice", verdict: StallVerdict.Lost },
  {
    what: "not listed once",
    run: { absentReports: 0 },
    verdict: StallVerdict.Absent,
  },
  {
    what: "of another incarnation",
    report: { startedMs: 2, ...listed(3) },
    verdict: StallVerdict.Lost,
  },
  {
    what: "perhaps waiting",
    report: { waiting: 1 },
    verdict: StallVerdict.Alive,
  },
  {
    what: "perhaps in prefill",
    report: { prefilling: 1 },
    run: { eventCount: 0 },
    verdict: StallVerdict.Alive,
  },
  {
    what: "perhaps in prefill, but overdue",
    report: { prefilling: 1 },
    run: { eventCount: 0, isOverdue: true },
    verdict: StallVerdict.Late,
  },
  {
    what: "not in prefill",
    run: { eventCount: 0 },
    verdict: StallVerdict.Lost,
  },
])("a run that the report shows as $what", ({ report, run, verdict }) => {
  expect(classifyStall({ ...REPORT, ...report }, { ...RUN, ...run }))
    .toBe(verdict);
});
