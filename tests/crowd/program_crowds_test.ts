/**
 * Each kind of crowd at each door of our own programs: the process lives, its
 * memory and its descriptors stay within those of its machine, and an ordinary
 * request is answered while the crowd is still there.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { Child } from "../../bench/child.ts";
import { LocalCluster } from "../../bench/local_cluster.ts";
import { bearerKey, PLAIN_SERVICE } from "../../bench/local_deployment.ts";
import { CrowdProcesses } from "./crowd_processes.ts";
import { type Crowd, DOOR_CROWDS, type Target } from "./crowds.ts";
import { descriptorCount, peakMemoryMb } from "./process_watch.ts";

const HOST = "127.0.0.1";
const MACHINE = { memoryMb: 350, maxFds: 4_100 };
const BODY_MAX_BYTES = 4_194_304;
const LIMITS = [
  `memory_mb = ${MACHINE.memoryMb}`,
  `descriptors = ${MACHINE.maxFds}`,
];
const NODE_OPTIONS = ["--max-old-space-size=96"];
const KEY_FIELD = `Authorization: Bearer ${bearerKey("alpha")}`;
/** Time in which the process takes in what a crowd has sent, in ms. */
const SETTLE_MS = 1_000;
const SERIES_TIMEOUT_MS = 240_000;
const STREAM = { prompt: "a stream under way", maxTokens: 600 };

let cluster: LocalCluster;

beforeEach(async () => {
  cluster = await LocalCluster.create({
    engines: 1,
    services: 1,
    entryNodeOptions: NODE_OPTIONS,
    engineSwitches: { tokenMs: 20 },
    limits: [...LIMITS, `body_bytes = ${BODY_MAX_BYTES}`],
  });
});

afterEach(() => cluster.close());

/** Opens a crowd, checks the bounds while it is there, and closes it. */
async function expectBounded(
  { pid }: Child,
  { crowd, target, isServing }: {
    readonly crowd: Crowd;
    readonly target: Target;
    readonly isServing: () => Promise<boolean>;
  },
): Promise<void> {
  let opened: CrowdProcesses | undefined;
  let descriptors = 0;
  try {
    const peakMb = await peakMemoryMb(pid, async () => {
      opened = await CrowdProcesses.create(crowd, target);
      descriptors = await descriptorCount(pid);
      await sleep(SETTLE_MS);
    });
    expect(await isServing(), `${crowd.name}: a request`).toBe(true);
    expect(peakMb, `${crowd.name}: memory in MB`)
      .toBeLessThan(MACHINE.memoryMb);
    expect(descriptors, `${crowd.name}: descriptors`)
      .toBeLessThan(MACHINE.maxFds);
  } finally {
    opened?.close();
  }
}

/** Whether a call to the plain service is answered by the entry. */
async function isServingCalls(): Promise<boolean> {
  const response = await cluster.callService({
    entry: cluster.entry(),
    method: "GET",
    path: "/stock/1",
    customer: "beta",
  }).catch(() => undefined);
  return response?.status === 200;
}

for (
  const [name, path, fields] of [
    ["the path of completions", "/v1/completions", [KEY_FIELD]],
    ["the path of completions without a key", "/v1/completions", []],
    ["the path of a service", `/services/${PLAIN_SERVICE}/upload`, [KEY_FIELD]],
    ["a path without a route", "/none", []],
  ] as const
) {
  test(
    `crowds of bodies and fields in turn at ${name} of an entry`,
    async () => {
      const entry = cluster.entry();
      const { port } = entry;
      for (const crowd of DOOR_CROWDS) {
        await expectBounded(entry, {
          crowd,
          target: {
            host: HOST,
            port,
            path,
            fields,
            bodyMaxBytes: BODY_MAX_BYTES,
          },
          isServing: isServingCalls,
        });
      }
    },
    SERIES_TIMEOUT_MS,
  );
}

test(
  "crowds of bodies and fields in turn at the door between entries",
  async () => {
    const entry = cluster.entry();
    const port = entry.ports.peerPort ?? 0;
    for (const crowd of DOOR_CROWDS) {
      await expectBounded(entry, {
        crowd,
        target: {
          host: HOST,
          port,
          path: "/peer",
          bodyMaxBytes: BODY_MAX_BYTES,
        },
        isServing: isServingCalls,
      });
    }
  },
  SERIES_TIMEOUT_MS,
);

test(
  "crowds of bodies and fields in turn at the port of a steward",
  async () => {
    const steward = await cluster.startSteward("steward-a", [], {
      limits: LIMITS,
      nodeOptions: NODE_OPTIONS,
    });
    const { port } = steward;
    for (const crowd of DOOR_CROWDS) {
      await expectBounded(steward, {
        crowd,
        target: {
          host: HOST,
          port,
          path: "/metrics",
          bodyMaxBytes: BODY_MAX_BYTES,
        },
        isServing: () => steward.get("/healthz").then(() => true, () => false),
      });
    }
  },
  SERIES_TIMEOUT_MS,
);

test("a stream under way outlives crowds of bodies and fields", async () => {
  const entry = cluster.entry();
  for (const crowd of DOOR_CROWDS) {
    const stream = cluster.complete(STREAM);
    await stream.waitForTokens(5);
    await expectBounded(entry, {
      crowd,
      target: {
        host: HOST,
        port: entry.port,
        path: "/v1/completions",
        bodyMaxBytes: BODY_MAX_BYTES,
      },
      isServing: isServingCalls,
    });
    expect((await stream.ended).outcome, crowd.name).toBe("done");
  }
}, SERIES_TIMEOUT_MS);
