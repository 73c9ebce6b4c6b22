/** What entries learn of servers of different speeds, and of servers alike. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import { createServer } from "../../tests/relay/scripted.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import { ServerSpeeds } from "./server_speeds.ts";

const PROMPT = 5_000;
const FALLBACK = 5;

function createServers(count: number): readonly RegisteredServer[] {
  return Array.from({ length: count }, (_, at) => createServer(`a${at}`));
}

function createSpeeds(servers: readonly RegisteredServer[]): ServerSpeeds {
  return ServerSpeeds.create({ now: () => 1_000, serversOf: () => servers });
}

/** Records prompts at servers whose speed is a factor of 5 tokens per ms. */
function recordPrompts(
  speeds: ServerSpeeds,
  servers: readonly RegisteredServer[],
  { factors, prompts, seed }: {
    readonly factors: readonly number[];
    readonly prompts: number;
    readonly seed: number;
  },
): void {
  const random = xoroshiro128plus(seed);
  for (const [at, server] of servers.entries()) {
    const factor = factors[at % factors.length] ?? 1;
    for (let prompt = 0; prompt < prompts; prompt++) {
      // Servers are slow for part of the time.
      const noise = uniformFloat64(random) < 0.15 ? 2.5 : 1;
      const durationMs = noise * PROMPT / (FALLBACK * factor) +
        20 * uniformFloat64(random);
      speeds.record(server, { tokens: PROMPT, durationMs });
    }
  }
}

test("servers of which some are twice as fast are told apart despite noise", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const servers = createServers(99);
    const speeds = createSpeeds(servers);
    recordPrompts(speeds, servers, {
      factors: [0.7, 0.7, 1.7],
      prompts: 5,
      seed,
    });
    const relative = servers.map((server) => speeds.relativeSpeedOf(server));
    const fast = relative.filter((_, at) => at % 3 === 2);
    const slow = relative.filter((_, at) => at % 3 !== 2);
    const meanOf = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    expect(meanOf(fast) / meanOf(slow)).toBeGreaterThan(1.9);
  }
});

test("servers alike count as equal, however noisy", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const servers = createServers(80);
    const speeds = createSpeeds(servers);
    recordPrompts(speeds, servers, { factors: [1], prompts: 5, seed });
    expect(new Set(servers.map((server) => speeds.relativeSpeedOf(server))))
      .toEqual(new Set([1]));
  }
});

test("too little is known: the rate is the fallback", () => {
  const [server, ...others] = createServers(12);
  const speeds = createSpeeds([server!, ...others]);
  speeds.record(server!, { tokens: PROMPT, durationMs: 100 });
  expect(speeds.rateOf(server!, FALLBACK)).toBe(FALLBACK);
  expect(speeds.relativeSpeedOf(server!)).toBe(1);
});

test("servers alike of another rate than assumed have their median rate", () => {
  const servers = createServers(12);
  const speeds = createSpeeds(servers);
  recordPrompts(speeds, servers, { factors: [1.6], prompts: 5, seed: 4 });
  expect(speeds.rateOf(servers[0]!, FALLBACK)).toBeCloseTo(7.8, 0);
});

test("peers pass on speeds, of the present incarnation only", () => {
  const servers = createServers(8);
  const first = createSpeeds(servers);
  const second = createSpeeds(servers);
  recordPrompts(first, servers, { factors: [0.5, 2], prompts: 3, seed: 7 });
  second.merge(first.digest());
  second.merge(first.digest());
  second.merge(servers.map(({ name }) => ({
    server: name,
    startedMs: 0,
    highestRate: 19,
    rate: 19,
  })));
  const restarted = { ...servers[7]!, startedMs: 2 };
  expect(second.rateOf(servers[7]!, FALLBACK)).toBeCloseTo(10, 0);
  expect(second.rateOf(restarted, FALLBACK)).not.toBeCloseTo(10, 0);
});

test("prompts that waited for others or were cached do not change a server's speed", () => {
  const servers = createServers(12);
  const speeds = createSpeeds(servers);
  recordPrompts(speeds, servers, { factors: [1], prompts: 4, seed: 3 });
  const before = speeds.rateOf(servers[0]!, FALLBACK);
  speeds.record(servers[0]!, { tokens: PROMPT, durationMs: 6_000 });
  speeds.record(servers[0]!, { tokens: PROMPT, durationMs: 30 });
  speeds.record(servers[0]!, { tokens: PROMPT, durationMs: 30 });
  expect(speeds.rateOf(servers[0]!, FALLBACK)).toBe(before);
});
