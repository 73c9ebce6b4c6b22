/** Which server gets a request, by load, prompts in line, losses and zones. */

import { expect, test } from "vitest";
import { createServer } from "../../tests/relay/scripted.ts";
import { chooseServer, type SelectionCriteria } from "./choose_server.ts";
import { type LiveServerView, NO_LOAD } from "./live_server.ts";
import { NO_UNANSWERED_CALLS } from "./server_ejection.ts";

const NEED: SelectionCriteria = {
  service: "engines",
  tokens: 6_000,
  unreadTokens: 5_000,
  excluded: new Set(),
  suspectZones: new Map(),
};

function view(
  name: string,
  changes: Partial<LiveServerView> = {},
): LiveServerView {
  return {
    server: createServer(name, { zone: name.slice(0, 1), slots: 12 }),
    kvCacheTokens: 55_000,
    ownLoad: NO_LOAD,
    peerLoad: NO_LOAD,
    ejectedUntilMs: 0,
    fullUntilMs: 0,
    unansweredCalls: NO_UNANSWERED_CALLS,
    lastActivityMs: 0,
    ...changes,
  };
}

function choose(
  views: readonly LiveServerView[],
  changes: Partial<SelectionCriteria> = {},
): string | undefined {
  const context = { nowMs: 1_000, random: () => 0 };
  return chooseServer(views, { ...NEED, ...changes }, context)?.server.name;
}

test("the work of other entries counts like our own", () => {
  const busy = view("a1", {
    peerLoad: { requests: 3, tokens: 18_000, unreadTokens: 0 },
  });
  const own = view("b1", {
    ownLoad: { requests: 1, tokens: 6_000, unreadTokens: 0 },
  });
  expect(choose([busy, own])).toBe("b1");
});

test("a server that reads a prompt is avoided for one that only answers", () => {
  const reading = view("a1", {
    peerLoad: { requests: 1, tokens: 6_000, unreadTokens: 5_000 },
  });
  const answering = view("b1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 0 },
  });
  expect(choose([reading, answering])).toBe("b1");
});

test("a prompt is read where copies are kept rather than where a stream would wait", () => {
  const answering = view("a1", {
    peerLoad: { requests: 1, tokens: 6_000, unreadTokens: 0 },
  });
  const keeping = view("b1", {
    peerLoad: { requests: 0, tokens: 12_000, unreadTokens: 0 },
  });
  expect(choose([answering, keeping])).toBe("b1");
  // A copy of a run disturbs nobody: it goes where memory is left.
  expect(choose([answering, keeping], { unreadTokens: undefined })).toBe("a1");
});

test("memory binds before slots", () => {
  const full = view("a1", {
    ownLoad: { requests: 8, tokens: 50_000, unreadTokens: 0 },
  });
  expect(choose([full])).toBeUndefined();
});

test("a request waits rather than being third in line, unless it waited as long as that line takes", () => {
  const lined = view("a1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 10_000 },
  });
  expect(choose([lined], { avoidBacklogUntilMs: 2_000 })).toBeUndefined();
  expect(choose([lined], { avoidBacklogUntilMs: 1 })).toBeUndefined();
  expect(choose([lined], { avoidBacklogUntilMs: 0 })).toBe("a1");
});

test("requests that waited for room do not all line up at the first server that has it", () => {
  const returned = view("a1", {
    ownLoad: { requests: 8, tokens: 48_000, unreadTokens: 40_000 },
  });
  expect(choose([returned], { avoidBacklogUntilMs: 0 })).toBeUndefined();
  expect(choose([returned, view("b1")], { avoidBacklogUntilMs: 0 })).toBe("b1");
});

test("a request goes where its prompt is cached, whatever that server still reads", () => {
  const lined = view("a1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 10_000 },
  });
  const need = { avoidBacklogUntilMs: 2_000, preferred: "a1" };
  expect(choose([lined, view("b1")], need)).toBe("a1");
  const full = view("a1", {
    peerLoad: { requests: 2, tokens: 52_000, unreadTokens: 0 },
  });
  expect(choose([full, view("b1")], need)).toBe("b1");
});

test("of servers alike, each entry chooses the same for a prompt, and others for others", () => {
  const alike = Array.from({ length: 30 }, (_, at) => view(`a${at}`));
  const chosen = (prompt: string) =>
    choose(alike.toSorted(() => Math.random() - 0.5), { prompt });
  const prompts = Array.from({ length: 30 }, (_, at) => `prompt-${at}`);
  const first = prompts.map(chosen);
  expect(prompts.map(chosen)).toEqual(first);
  expect(new Set(first).size).toBeGreaterThan(10);
});

test("a server in a zone that just lost others comes last, unless it was heard", () => {
  const suspectZones = new Map([["a", 900]]);
  const busy = view("b1", {
    ownLoad: { requests: 6, tokens: 36_000, unreadTokens: 0 },
  });
  expect(choose([view("a1"), busy], { suspectZones })).toBe("b1");
  const heard = view("a1", { lastActivityMs: 950 });
  expect(choose([heard, busy], { suspectZones })).toBe("a1");
});

test("a request that lost a server goes to another zone, unless it heard of that one since", () => {
  const busy = view("b1", {
    ownLoad: { requests: 6, tokens: 36_000, unreadTokens: 0 },
  });
  const lostZone = { zone: "a", atMs: 900 };
  expect(choose([view("a1"), busy], { recentFailure: lostZone })).toBe("b1");
  expect(choose([view("a1")], { recentFailure: lostZone })).toBe("a1");
  expect(
    choose([view("a1", { lastActivityMs: 950 }), busy], {
      recentFailure: lostZone,
    }),
  ).toBe("a1");
});

test("an avoided server is used when there is no other, a replaced one never", () => {
  const avoided = view("a1", { ejectedUntilMs: 5_000 });
  const replaced = view("b1", { ejectedUntilMs: Number.POSITIVE_INFINITY });
  expect(choose([avoided, replaced])).toBe("a1");
  expect(choose([avoided, view("c1")])).toBe("c1");
  expect(choose([replaced])).toBeUndefined();
});

test("a copy is kept in another zone", () => {
  expect(choose([view("a1"), view("b1")], { excludedZone: "a" })).toBe("b1");
});
