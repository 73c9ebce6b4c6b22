/**
 * Test runner settings: whole sessions start real processes, so few files run
 * together. Tests of crowds measure memory and run last, one at a time.
 */
import { defineConfig } from "vitest/config";

const TIMEOUTS = { testTimeout: 60_000, hookTimeout: 60_000 };
const SETUP = { setupFiles: ["tests/setup.ts"] };

export default defineConfig({
  test: {
    maxWorkers: 3,
    projects: [
      {
        test: {
          ...TIMEOUTS,
          ...SETUP,
          name: "all",
          include: [
            "src/**/*_test.ts",
            "platform/**/*_test.ts",
            "tests/**/*_test.ts",
          ],
          exclude: ["tests/crowd/**", "**/node_modules/**"],
          sequence: { groupOrder: 0 },
        },
      },
      {
        test: {
          ...TIMEOUTS,
          ...SETUP,
          name: "crowd",
          include: ["tests/crowd/**/*_test.ts"],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
