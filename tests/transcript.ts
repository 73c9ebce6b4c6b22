/** Records what a session showed, line by line, for a golden file. */

import { expect } from "vitest";
import type { Child } from "../bench/child.ts";
import type { CompletionClient } from "../src/connection/completion_client.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { expectedText } from "../standins/text.ts";

/** The lines of one session. */
export class Transcript {
  readonly #lines: string[] = [];

  private constructor(title: string) {
    this.#lines.push(`# ${title}`);
  }

  /** Begins a session. */
  static create(title: string): Transcript {
    return new Transcript(title);
  }

  /** Adds a line. */
  record(line: string): void {
    this.#lines.push(line);
  }

  /** Adds how an answer ended, compared with the one expected. */
  async recordResponse(
    who: string,
    caller: CompletionClient,
    asked: {
      readonly prompt: string;
      readonly maxTokens: number;
      readonly modelVersion?: string;
    },
  ): Promise<void> {
    const { status, outcome, message } = await caller.ended;
    const seed = {
      prompt: asked.prompt,
      modelVersion: asked.modelVersion ?? "1",
    };
    const comparison = compareText(
      caller.text,
      expectedText(seed, asked.maxTokens),
    );
    const detail = message === "" ? "" : ` (${normalise(message)})`;
    this.record(`${who}: ${status} ${outcome}${detail}, text ${comparison}`);
  }

  /** Adds how parts of an answer, put together, compare with the one expected. */
  recordJoinedText(
    parts: readonly string[],
    asked: { readonly prompt: string; readonly maxTokens: number },
  ): void {
    const seed = { prompt: asked.prompt, modelVersion: "1" };
    const expected = expectedText(seed, asked.maxTokens);
    this.record(`joined text: ${compareText(parts.join(""), expected)}`);
  }

  /** Adds what each entry logged as the cause of its first loss. */
  async recordFirstFailure(entries: readonly Child[]): Promise<void> {
    for (const [index, entry] of entries.entries()) {
      await entry.waitForOutput();
      const loss = entry.logLines().find(({ event }) =>
        event === LOG_EVENTS.attemptFailed.number
      );
      if (loss === undefined) continue;
      this.record(
        `entry ${index} log: ${loss.event} attempt lost: ${loss.cause}`,
      );
    }
  }

  /** Compares the session with its golden file. */
  async matchGoldenFile(name: string): Promise<void> {
    await expect(`${this.#lines.join("\n")}\n`).toMatchFileSnapshot(
      `golden/${name}.txt`,
    );
  }
}

/** Says how a text relates to the expected one. */
export function compareText(actual: string, expected: string): string {
  if (actual === expected) return "whole";
  if (actual === "") return "empty";
  return expected.startsWith(actual) ? "a true beginning" : "WRONG";
}

/** Takes ids, ports and counts of milliseconds out of a text. */
export function normalise(text: string): string {
  return text
    .replace(/[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, "<id>")
    .replace(/not JSON: [^"]*/g, "not JSON: <detail>")
    .replace(/127\.0\.0\.1:\d+/g, "<address>")
    .replace(/\b\d+ ms\b/g, "<time>");
}
