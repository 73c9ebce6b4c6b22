/** `npm run demo`: a generation that survives the crash of its engine. */

import process from "node:process";
import { expectedText } from "../standins/text.ts";
import { engineName, LocalCluster } from "./local_cluster.ts";

const REQUEST = {
  prompt: "Survey of the Dolpo glasshouse roof",
  maxTokens: 120,
};
const TOKENS_BEFORE_KILL = 40;
const TOKEN_MS = 30;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

print("starting the platform, three engines, a service and two entries ...");
const cluster = await LocalCluster.create({
  engines: 3,
  services: 1,
  entries: 2,
  engineSwitches: { tokenMs: TOKEN_MS },
});
try {
  print((await cluster.runCommand(["audit"])).stdout.trimEnd());
  print(`\nrequesting ${REQUEST.maxTokens} tokens from an entry ...`);
  const caller = cluster.complete(REQUEST);
  await caller.waitForTokens(TOKENS_BEFORE_KILL);
  const servingIndex = await cluster.servingEngineIndex();
  const engine = cluster.engine(servingIndex);
  print(
    `${caller.tokenCount} tokens received; killing ${engineName(servingIndex)}`,
  );
  print(`  (pid ${engine.pid}), which generates them`);
  await engine.kill();
  const { outcome } = await caller.ended;
  const expected = expectedText(
    { prompt: REQUEST.prompt, modelVersion: "1" },
    REQUEST.maxTokens,
  );
  const isComplete = caller.text === expected;
  print(`${caller.text.trim().slice(0, 60)} ...`);
  print(`response ended: ${outcome}, ${caller.tokenCount} tokens`);
  print(`no token lost, duplicated or changed: ${isComplete ? "yes" : "NO"}`);
  print(
    `longest gap between two events: ${caller.longestEventGapMs.toFixed(0)} ms`,
  );
  if (!isComplete || outcome !== "done") process.exitCode = 1;
} finally {
  await cluster.close();
  print("all processes stopped");
}
