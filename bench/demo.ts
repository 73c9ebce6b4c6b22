/** `npm run demo`: a generation that outlives the engine it runs on. */

import process from "node:process";
import { expectedText } from "../standins/text.ts";
import { engineName, LocalCluster } from "./local_cluster.ts";

const ASKED = { prompt: "Survey of the Dolpo glasshouse roof", maxTokens: 120 };
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
  print(`\nasking an entry for ${ASKED.maxTokens} tokens ...`);
  const caller = cluster.complete(ASKED);
  await caller.waitForTokens(TOKENS_BEFORE_KILL);
  const serving = await cluster.servingEngineIndex();
  const engine = cluster.engine(serving);
  print(`${caller.tokenCount} tokens received; killing ${engineName(serving)}`);
  print(`  (pid ${engine.pid}) under it`);
  await engine.kill();
  const { outcome } = await caller.ended;
  const expected = expectedText(
    { prompt: ASKED.prompt, modelVersion: "1" },
    ASKED.maxTokens,
  );
  const isWhole = caller.text === expected;
  print(`${caller.text.trim().slice(0, 60)} ...`);
  print(`answer ended: ${outcome}, ${caller.tokenCount} tokens`);
  print(`no token lost, doubled or mixed: ${isWhole ? "yes" : "NO"}`);
  print(`output paused for ${caller.longestEventGapMs.toFixed(0)} ms`);
  if (!isWhole || outcome !== "done") process.exitCode = 1;
} finally {
  await cluster.close();
  print("everything is stopped");
}
