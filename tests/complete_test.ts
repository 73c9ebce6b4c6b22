/** Tests requests from end to end while all servers and entries work. */

import { afterAll, beforeAll, expect, test } from "vitest";
import { callHttp } from "../src/connection/http_call.ts";
import { LocalCluster } from "../bench/local_cluster.ts";
import { bearerKey } from "../bench/local_deployment.ts";
import { expectedText } from "../standins/text.ts";
import { normalise, Transcript } from "./transcript.ts";

let cluster: LocalCluster;

beforeAll(async () => {
  cluster = await LocalCluster.create({ engines: 2, services: 1, entries: 2 });
});

afterAll(() => cluster.close());

test("streams a completion", async () => {
  const transcript = Transcript.create("streams a completion");
  const request = { prompt: "inspection log of buoy 7", maxTokens: 40 };
  await transcript.recordResponse("caller", cluster.complete(request), request);
  await transcript.matchGoldenFile("complete_streamed");
});

test("responds with a completion without streaming", async () => {
  const prompt = "roof explanation";
  const response = await post({ model: "reports", prompt, max_tokens: 12 });
  const { choices, usage } = JSON.parse(response.text);
  expect(response.status).toBe(200);
  expect(usage.completion_tokens).toBe(12);
  expect(choices[0].text).toBe(
    expectedText({ prompt, modelVersion: "1" }, 12),
  );
});

test("refuses bad requests without running them", async () => {
  const transcript = Transcript.create("bad requests");
  const before = await acceptedCount();
  const cases: readonly [string, unknown, string?][] = [
    ["not JSON", "{"],
    ["not an object", []],
    ["all fields wrong", {
      model: 1,
      prompt: 2,
      max_tokens: 0,
      stream: "yes",
      rank: 3,
      resume_text: 4,
    }],
    ["unknown model", { model: "nothing", prompt: "x" }],
    ["closed rank", { model: "reports", prompt: "x", rank: "royal" }],
    ["too large", { model: "reports", prompt: "x".repeat(2_100_000) }],
    ["wrong key", { model: "reports", prompt: "x" }, "nobody"],
  ];
  for (const [name, body, customer] of cases) {
    const { status, text } = await post(body, customer);
    transcript.record(`${name}: ${status} ${normalise(text)}`);
  }
  expect(await acceptedCount()).toBe(before);
  await transcript.matchGoldenFile("complete_refused");
});

test("frees the slot of a caller that disconnects", async () => {
  const caller = cluster.complete({ prompt: "left alone", maxTokens: 5_000 });
  await caller.waitForTokens(3);
  caller.close();
  await expect.poll(runningCount, { timeout: 10_000 }).toBe(0);
});

test("calls plain services by path", async () => {
  const transcript = Transcript.create("plain services");
  const entry = cluster.entry();
  const read = await cluster.callService({
    entry,
    method: "GET",
    path: "/stock?item=battery",
  });
  transcript.record(`read: ${read.status} ${read.body}`);
  const booking = {
    entry,
    method: "POST",
    path: "/bookings",
    body: JSON.stringify({ key: "buoy-7" }),
  };
  const keyless = await cluster.callService(booking);
  transcript.record(
    `no key: ${keyless.status} ${normalise(String(keyless.body))}`,
  );
  for (const at of [0, 1]) {
    const response = await cluster.callService({
      ...booking,
      entry: cluster.entry(at),
      idempotencyKey: "k1",
    });
    const replayed = response.headers["x-gypsumridge-replayed"] ?? "false";
    transcript.record(
      `entry ${at}: ${response.status} ${response.body}, replayed ${replayed}`,
    );
  }
  const conflicting = await cluster.callService({
    ...booking,
    body: JSON.stringify({ key: "buoy-8" }),
    idempotencyKey: "k1",
  });
  transcript.record(
    `key reused: ${conflicting.status} ${normalise(String(conflicting.body))}`,
  );
  const counts = await cluster.service().get<{ runs: unknown }>(
    "/standin/counts",
  );
  transcript.record(`runs: ${JSON.stringify(counts.runs)}`);
  await transcript.matchGoldenFile("plain_services");
});

async function post(
  body: unknown,
  customer = "alpha",
): Promise<{ readonly status: number; readonly text: string }> {
  const response = await callHttp({
    address: cluster.entry().address,
    method: "POST",
    path: "/v1/completions",
    headers: { authorization: `Bearer ${bearerKey(customer)}` },
    body: typeof body === "string" ? body : JSON.stringify(body),
    timeoutMs: 10_000,
  });
  return { status: response.status, text: response.body.toString() };
}

async function acceptedCount(): Promise<number> {
  let total = 0;
  for (const engine of cluster.engines) {
    const { accepted } = await engine.get<{ accepted: number }>(
      "/standin/counts",
    );
    total += accepted;
  }
  return total;
}

async function runningCount(): Promise<number> {
  let total = 0;
  for (const engine of cluster.engines) {
    const report = await engine.get<{ running: number }>("/v1/load");
    total += report.running;
  }
  return total;
}
