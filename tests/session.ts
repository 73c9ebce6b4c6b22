/** Records what a session showed, line by line, for a golden file. */

import { expect } from "vitest";
import type { Child } from "../bench/child.ts";
import type { CompletionCaller } from "../src/connection/completion_caller.ts";
import { EVENTS } from "../src/process/event_catalog.ts";
import { expectedText } from "../standins/text.ts";

/** The lines of one session. */
export class Session {
  readonly #lines: string[] = [];

  private constructor(title: string) {
    this.#lines.push(`# ${title}`);
  }

  /** Begins a session. */
  static create(title: string): Session {
    return new Session(title);
  }

  /** Adds a line. */
  note(line: string): void {
    this.#lines.push(line);
  }

  /** Adds how an answer ended, compared with the one expected. */
  async noteAnswer(
    who: string,
    caller: CompletionCaller,
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
    this.note(`${who}: ${status} ${outcome}${detail}, text ${comparison}`);
  }

  /** Adds how parts of an answer, put together, compare with the one expected. */
  noteJoined(
    parts: readonly string[],
    asked: { readonly prompt: string; readonly maxTokens: number },
  ): void {
    const seed = { prompt: asked.prompt, modelVersion: "1" };
    const expected = expectedText(seed, asked.maxTokens);
    this.note(`joined text: ${compareText(parts.join(""), expected)}`);
  }

  /** Adds what each entry logged as the cause of its first loss. */
  async noteFirstLoss(entries: readonly Child[]): Promise<void> {
    for (const [index, entry] of entries.entries()) {
      await entry.settleOutput();
      const loss = entry.logLines().find(({ event }) =>
        event === EVENTS.attemptLost.number
      );
      if (loss === undefined) continue;
      this.note(
        `entry ${index} log: ${loss.event} attempt lost: ${loss.cause}`,
      );
    }
  }

  /** Compares the session with its golden file. */
  async match(name: string): Promise<void> {
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
