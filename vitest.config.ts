/** Test runner settings: whole sessions start real processes, so few files run together. */
import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "src/**/*_test.ts",
      "platform/**/*_test.ts",
      "tests/**/*_test.ts",
    ],
    setupFiles: ["tests/setup.ts"],
    maxWorkers: 3,
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
