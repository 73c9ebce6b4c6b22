/** Tests that a paused reader does not block the writer. */

import { execFile } from "node:child_process";
import { expect, test } from "vitest";
import process from "node:process";

const MODULE = new URL(
  "../../dist/src/process/bounded_output.js",
  import.meta.url,
);

/** Runs a program and does not read its standard output for 1 s. */
function runWithPausedReader(program: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const child = execFile(
      process.execPath,
      ["--input-type=module", "-e", program],
      { maxBuffer: 64 * 1024 * 1024 },
      (error, _, stderr) => error === null ? resolve(stderr) : reject(error),
    );
    child.stdout?.pause();
    setTimeout(() => child.stdout?.resume(), 1_000);
  });
}

test("drops and counts lines beyond the buffer size while the reader is paused", async () => {
  const report = await runWithPausedReader(`
    import { BoundedOutput } from ${JSON.stringify(MODULE.href)};
    const output = BoundedOutput.create(1);
    const line = "x".repeat(999) + "\\n";
    const startMs = performance.now();
    for (let at = 0; at < 5000; at++) output.write(line);
    const tookMs = performance.now() - startMs;
    console.error(JSON.stringify({ tookMs, dropped: output.takeDroppedCount() }));
    setTimeout(() => {}, 1500);
  `);
  const { tookMs, dropped } = JSON.parse(report);
  expect(tookMs).toBeLessThan(500);
  expect(dropped).toBeGreaterThan(3_000);
});
