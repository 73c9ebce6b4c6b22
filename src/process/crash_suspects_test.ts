/** Tests which runs on crashed servers are blamed when several were under way. */

import { expect, test } from "vitest";
import type { CrashCause, RequestId } from "../ids.ts";
import { CrashAccount } from "./crash_account.ts";
import { type RequestCauses, RunStage } from "./crash_evidence.ts";

const SHARED_PART = "part shared" as CrashCause;
const OTHER_PART = "part other" as CrashCause;
const DEADLY_PART = "part deadly" as CrashCause;
const DEADLY_REQUEST = "request deadly" as CrashCause;
const CRASH_GAP_MS = 1_000;
/** Time in which sound runs elsewhere show that they are harmless, in ms. */
const PROOF_DELAY_MS = 400;

function createCauses(
  id: string,
  parts: readonly CrashCause[],
  request = `request ${id}` as CrashCause,
): RequestCauses {
  return { id: id as RequestId, request, parts };
}

/** A run on a server that crashes, before its server is known. */
interface CrashingRun {
  readonly causes: (at: number) => RequestCauses;
  readonly stage: RunStage;
}

/** Crashes servers one after the other, each with all of the runs. */
function crashServers(
  runs: readonly CrashingRun[],
  { count, proven = [] }: {
    readonly count: number;
    readonly proven?: readonly CrashCause[];
  },
): CrashAccount {
  let nowMs = 0;
  const account = CrashAccount.create({
    entry: "entry-1",
    now: () => nowMs,
    onBlocked: () => undefined,
    onCleared: () => undefined,
  });
  for (let at = 0; at < count; at++) {
    nowMs = at * CRASH_GAP_MS;
    const server = `server-${at}`;
    for (const { causes, stage } of runs) {
      const crash = { server, zone: `zone-${at % 3}`, atMs: nowMs, stage };
      account.recordCrash(causes(at), crash);
    }
    nowMs += PROOF_DELAY_MS;
    account.recordProof(proven);
  }
  return account;
}

const deadlyCall: CrashingRun = {
  causes: (at) => createCauses(`call-${at}`, [], DEADLY_REQUEST),
  stage: RunStage.Calling,
};
const begunStream: CrashingRun = {
  causes: (at) => createCauses(`stream-${at}`, [SHARED_PART, OTHER_PART]),
  stage: RunStage.Begun,
};

test("a call that crashes servers is refused though streams had just begun on them", () => {
  const account = crashServers([deadlyCall, begunStream], {
    count: 8,
    proven: [SHARED_PART, OTHER_PART],
  });
  const repeat = createCauses("repeat", [], DEADLY_REQUEST);
  expect(account.blockedUntilMs(repeat)).toBeDefined();
});

test("a stream that crashes servers before its head is refused though others had just begun on them", () => {
  const stream: CrashingRun = {
    causes: (at) => createCauses(`early-${at}`, [SHARED_PART], DEADLY_REQUEST),
    stage: RunStage.Waiting,
  };
  const account = crashServers([stream, begunStream], {
    count: 8,
    proven: [SHARED_PART, OTHER_PART],
  });
  const repeat = createCauses("repeat", [SHARED_PART], DEADLY_REQUEST);
  expect(account.blockedUntilMs(repeat)).toBeDefined();
});

test("a sound request that waited in each crash beside a deadly part is not refused", () => {
  const waiting: CrashingRun = {
    causes: () => createCauses("sound", [SHARED_PART]),
    stage: RunStage.Waiting,
  };
  const deadly: CrashingRun = {
    causes: (at) => createCauses(`deadly-${at}`, [SHARED_PART, DEADLY_PART]),
    stage: RunStage.Begun,
  };
  const account = crashServers([waiting, deadly], { count: 8 });
  const sound = createCauses("sound", [SHARED_PART]);
  expect(account.blockedUntilMs(sound)).toBeUndefined();
  const later = createCauses("later", [SHARED_PART, DEADLY_PART]);
  expect(account.blockedUntilMs(later)).toBeDefined();
});

test("streams that had just begun when a call crashed their servers are not refused", () => {
  const account = crashServers([deadlyCall, begunStream], { count: 8 });
  const sound = createCauses("sound", [SHARED_PART, OTHER_PART]);
  expect(account.blockedUntilMs(sound)).toBeUndefined();
});

test("a block refuses some of the runs that it follows from", () => {
  const deadlyStream: CrashingRun = {
    causes: (at) => createCauses(`deadly-${at}`, [SHARED_PART, DEADLY_PART]),
    stage: RunStage.Begun,
  };
  const account = crashServers([deadlyStream, begunStream], { count: 8 });
  const later = [DEADLY_PART, OTHER_PART].map((part) =>
    account.blockedUntilMs(createCauses("later", [SHARED_PART, part]))
  );
  expect(later.some((untilMs) => untilMs !== undefined)).toBe(true);
});
