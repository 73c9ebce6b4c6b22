/** Choice of a server by load, prefill backlog, ejections and zone failures. */

import { expect, test } from "vitest";
import { createServer } from "../../tests/relay/scripted.ts";
import { chooseServer, type SelectionCriteria } from "./choose_server.ts";
import {
  NO_LOAD,
  type RegisteredServerView,
} from "../process/registered_server.ts";
import { NO_UNANSWERED_CALLS } from "../process/server_ejection.ts";

const CRITERIA: SelectionCriteria = {
  service: "engines",
  tokens: 6_000,
  unreadTokens: 5_000,
  excluded: new Set(),
  suspectZones: new Map(),
};

function view(
  name: string,
  changes: Partial<RegisteredServerView> = {},
): RegisteredServerView {
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
  views: readonly RegisteredServerView[],
  changes: Partial<SelectionCriteria> = {},
): string | undefined {
  const context = { nowMs: 1_000, random: () => 0 };
  return chooseServer(views, { ...CRITERIA, ...changes }, context)?.server.name;
}

test("load from peer entries counts like the entry's own", () => {
  const busy = view("a1", {
    peerLoad: { requests: 3, tokens: 18_000, unreadTokens: 0 },
  });
  const own = view("b1", {
    ownLoad: { requests: 1, tokens: 6_000, unreadTokens: 0 },
  });
  expect(choose([busy, own])).toBe("b1");
});

test("a server that only decodes is preferred to one that prefills a prompt", () => {
  const prefilling = view("a1", {
    peerLoad: { requests: 1, tokens: 6_000, unreadTokens: 5_000 },
  });
  const decoding = view("b1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 0 },
  });
  expect(choose([prefilling, decoding])).toBe("b1");
});

test("a prompt is prefilled beside KV cache backups rather than beside a running request", () => {
  const decoding = view("a1", {
    peerLoad: { requests: 1, tokens: 6_000, unreadTokens: 0 },
  });
  const backingUp = view("b1", {
    peerLoad: { requests: 0, tokens: 12_000, unreadTokens: 0 },
  });
  expect(choose([decoding, backingUp])).toBe("b1");
  // A KV cache backup delays no request, so it goes where more memory is free.
  expect(choose([decoding, backingUp], { unreadTokens: undefined })).toBe("a1");
});

test("a server without free KV cache is not chosen, even with free slots", () => {
  const full = view("a1", {
    ownLoad: { requests: 8, tokens: 50_000, unreadTokens: 0 },
  });
  expect(choose([full])).toBeUndefined();
});

test("a request waits rather than queues behind two prompts, until it has waited as long as their prefill takes", () => {
  const backlogged = view("a1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 10_000 },
  });
  expect(choose([backlogged], { avoidBacklogUntilMs: 2_000 })).toBeUndefined();
  expect(choose([backlogged], { avoidBacklogUntilMs: 1 })).toBeUndefined();
  expect(choose([backlogged], { avoidBacklogUntilMs: 0 })).toBe("a1");
});

test("requests that waited for capacity do not all queue at the first server that recovers", () => {
  const recovered = view("a1", {
    ownLoad: { requests: 8, tokens: 48_000, unreadTokens: 40_000 },
  });
  expect(choose([recovered], { avoidBacklogUntilMs: 0 })).toBeUndefined();
  expect(choose([recovered, view("b1")], { avoidBacklogUntilMs: 0 })).toBe(
    "b1",
  );
});

test("a request goes where its prompt is cached, regardless of the prefill backlog there", () => {
  const backlogged = view("a1", {
    peerLoad: { requests: 2, tokens: 12_000, unreadTokens: 10_000 },
  });
  const criteria = { avoidBacklogUntilMs: 2_000, preferred: "a1" };
  expect(choose([backlogged, view("b1")], criteria)).toBe("a1");
  const full = view("a1", {
    peerLoad: { requests: 2, tokens: 52_000, unreadTokens: 0 },
  });
  expect(choose([full, view("b1")], criteria)).toBe("b1");
});

test("among servers of equal load the choice depends on the prompt alone, and differs between prompts", () => {
  const equal = Array.from({ length: 30 }, (_, i) => view(`a${i}`));
  const chosen = (prompt: string) =>
    choose(equal.toSorted(() => Math.random() - 0.5), { prompt });
  const prompts = Array.from({ length: 30 }, (_, i) => `prompt-${i}`);
  const first = prompts.map(chosen);
  expect(prompts.map(chosen)).toEqual(first);
  expect(new Set(first).size).toBeGreaterThan(10);
});

test("a server in a suspect zone comes last, unless it was active since the failures", () => {
  const suspectZones = new Map([["a", 900]]);
  const busy = view("b1", {
    ownLoad: { requests: 6, tokens: 36_000, unreadTokens: 0 },
  });
  expect(choose([view("a1"), busy], { suspectZones })).toBe("b1");
  const active = view("a1", { lastActivityMs: 950 });
  expect(choose([active, busy], { suspectZones })).toBe("a1");
});

test("a request whose server failed goes to another zone, unless a server of the same zone was active since", () => {
  const busy = view("b1", {
    ownLoad: { requests: 6, tokens: 36_000, unreadTokens: 0 },
  });
  const recentFailure = { zone: "a", atMs: 900 };
  expect(choose([view("a1"), busy], { recentFailure })).toBe("b1");
  expect(choose([view("a1")], { recentFailure })).toBe("a1");
  expect(
    choose([view("a1", { lastActivityMs: 950 }), busy], {
      recentFailure,
    }),
  ).toBe("a1");
});

test("an ejected server is used only if there is no other, and a replaced one never", () => {
  const ejected = view("a1", { ejectedUntilMs: 5_000 });
  const replaced = view("b1", { ejectedUntilMs: Number.POSITIVE_INFINITY });
  expect(choose([ejected, replaced])).toBe("a1");
  expect(choose([ejected, view("c1")])).toBe("c1");
  expect(choose([replaced])).toBeUndefined();
});

test("no server of an excluded zone is chosen", () => {
  expect(choose([view("a1"), view("b1")], { excludedZone: "a" })).toBe("b1");
});
