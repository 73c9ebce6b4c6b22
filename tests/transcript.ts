/** Line-by-line transcript of a test, compared with a golden file. */

import { expect } from "vitest";
import type { Child } from "../bench/child.ts";
import type { CompletionClient } from "../src/connection/completion_client.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { expectedText } from "../standins/text.ts";

/** The lines of one test. */
export class Transcript {
  readonly #lines: string[] = [];

  private constructor(title: string) {
    this.#lines.push(`# ${title}`);
  }

  /** Returns a transcript that starts with a title. */
  static create(title: string): Transcript {
    return new Transcript(title);
  }

  /** Adds a line. */
  record(line: string): void {
    this.#lines.push(line);
  }

  /** Adds how a response ended and whether its text is the expected one. */
  async recordResponse(
    who: string,
    caller: CompletionClient,
    request: {
      readonly prompt: string;
      readonly maxTokens: number;
      readonly modelVersion?: string;
    },
  ): Promise<void> {
    const { status, outcome, message } = await caller.ended;
    const seed = {
      prompt: request.prompt,
      modelVersion: request.modelVersion ?? "1",
    };
    const comparison = compareText(
      caller.text,
      expectedText(seed, request.maxTokens),
    );
    const detail = message === "" ? "" : ` (${normalise(message)})`;
    this.record(`${who}: ${status} ${outcome}${detail}, text ${comparison}`);
  }

  /** Adds whether the joined parts of a completion are the expected text. */
  recordJoinedText(
    parts: readonly string[],
    request: { readonly prompt: string; readonly maxTokens: number },
  ): void {
    const seed = { prompt: request.prompt, modelVersion: "1" };
    const expected = expectedText(seed, request.maxTokens);
    this.record(`joined text: ${compareText(parts.join(""), expected)}`);
  }

  /** Adds the cause of the first failed attempt in each entry's log. */
  async recordFirstFailure(entries: readonly Child[]): Promise<void> {
    for (const [index, entry] of entries.entries()) {
      await entry.waitForOutput();
      const failure = entry.logLines().find(({ event }) =>
        event === LOG_EVENTS.attemptFailed.number
      );
      if (failure === undefined) continue;
      this.record(
        `entry ${index} log: ${failure.event} attempt failed: ${failure.cause}`,
      );
    }
  }

  /** Compares with `golden/NAME.txt`. Errors: rejects if they differ. */
  async matchGoldenFile(name: string): Promise<void> {
    await expect(`${this.#lines.join("\n")}\n`).toMatchFileSnapshot(
      `golden/${name}.txt`,
    );
  }
}

/** Returns how a text compares with the expected one, in words. */
export function compareText(actual: string, expected: string): string {
  if (actual === expected) return "complete";
  if (actual === "") return "empty";
  return expected.startsWith(actual) ? "a prefix" : "WRONG";
}

/** Replaces ids, addresses and times in ms, which differ between test runs. */
export function normalise(text: string): string {
  return text
    .replace(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, "<id>")
    .replace(/not JSON: [^"]*/g, "not JSON: <detail>")
    .replace(/127\.0\.0\.1:\d+/g, "<address>")
    .replace(/\b\d+ ms\b/g, "<time>");
}
