/**
 * Follows a settings file that may change while the process runs. A file that
 * can't be read or is invalid, or is just being written, changes nothing.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { describeInputError } from "./exit_code.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";

/** A settings file's text and what was parsed from it. */
export interface LoadedSettings<Settings> {
  readonly path: string;
  readonly text: string;
  readonly settings: Settings;
}

/** How a settings file is read. */
export interface SettingsSource<Settings> {
  /** Errors: rejects if the file can't be read. */
  readonly read: (path: string) => Promise<string>;
  /** Errors: throws if the text is invalid. */
  readonly parse: (path: string, text: string) => Settings;
}

/** Dependencies of a settings file. */
export interface SettingsFileOptions<Settings>
  extends SettingsSource<Settings> {
  /** The settings in force. */
  readonly loaded: LoadedSettings<Settings>;
  readonly log: Log;
  /** Settings that can't change until the process starts again. */
  readonly fixedKeys: readonly (keyof Settings)[];
  /** Settings whose values are not logged. */
  readonly secretKeys?: readonly (keyof Settings)[];
  /** Called with the settings that are in force from now on. */
  readonly onChange: (settings: Settings) => void;
}

/** Interval between reads, in ms; a file may change without a signal. */
const POLL_INTERVAL_MS = 500;
/** Time in which a changed text must stay the same, in ms. */
const CONFIRM_MS = 40;
/** Reads after which a text that still changes is left to the next poll. */
const READS_MAX = 5;
/** Longest time that a shutdown waits for the settings, in ms. */
const STOP_REFRESH_MAX_MS = 100;

/** Errors: rejects if the file can't be read, or its text is invalid. */
export async function loadSettingsFile<Settings>(
  path: string,
  { read, parse }: SettingsSource<Settings>,
): Promise<LoadedSettings<Settings>> {
  const text = await read(path);
  return { path, text, settings: parse(path, text) };
}

/** The settings file of a running process. */
export class SettingsFile<Settings extends object> {
  readonly #options: SettingsFileOptions<Settings>;
  /** The text that was parsed last, and the settings in force. */
  #loaded: LoadedSettings<Settings>;
  /** The last logged reason why the file was not taken over. */
  #failure: string | undefined;
  #lastRead = Promise.resolve();
  /** The read that follows the one in progress. */
  #nextRead: Promise<void> | undefined;
  #pollTimer: NodeJS.Timeout | undefined;

  private constructor(options: SettingsFileOptions<Settings>) {
    this.#options = options;
    this.#loaded = options.loaded;
  }

  /** Creates a settings file; `watch` starts to follow it. */
  static create<Settings extends object>(
    options: SettingsFileOptions<Settings>,
  ): SettingsFile<Settings> {
    return new SettingsFile(options);
  }

  /** Reads the file now, and then at intervals until closed. */
  watch(): void {
    this.refresh();
    this.#pollTimer = setInterval(() => this.refresh(), POLL_INTERVAL_MS)
      .unref();
  }

  /** Stops reading at intervals. */
  close(): void {
    clearInterval(this.#pollTimer);
  }

  /** Takes over what the file holds now; never rejects. */
  refresh(): Promise<void> {
    // The read in progress may have begun before the last change.
    this.#nextRead ??= this.#lastRead.then(() => {
      this.#nextRead = undefined;
      this.#lastRead = this.#readOnce();
      return this.#lastRead;
    });
    return this.#nextRead;
  }

  /**
   * The same, but doesn't keep a shutdown waiting if reading takes long, or if
   * a read in progress does.
   */
  async refreshForStop(): Promise<void> {
    await Promise.race([this.#readOnce(), sleep(STOP_REFRESH_MAX_MS)]);
  }

  async #readOnce(): Promise<void> {
    const { parse, onChange, fixedKeys } = this.#options;
    const { path, settings: previous } = this.#loaded;
    try {
      const text = await this.#readChange();
      if (text !== undefined) {
        const parsed = parse(path, text);
        const fixed = fixedKeys.map((key) => [key, previous[key]]);
        const settings = { ...parsed, ...Object.fromEntries(fixed) };
        this.#loaded = { path, text, settings };
        this.#logChanges(previous, parsed);
        onChange(settings);
      }
      this.#failure = undefined;
    } catch (error) {
      const reason = describeInputError(error);
      if (reason === this.#failure) return;
      this.#failure = reason;
      this.#options.log(LOG_EVENTS.settingsRejected, { reason });
    }
  }

  /** Resolves with the text if it has changed and is completely written. */
  async #readChange(): Promise<string | undefined> {
    const { read } = this.#options;
    const { path, text: known } = this.#loaded;
    let text = await read(path);
    for (let reads = 1; reads < READS_MAX && text !== known; reads++) {
      await sleep(CONFIRM_MS);
      const later = await read(path);
      if (later === text) return text;
      text = later;
    }
    return undefined;
  }

  #logChanges(previous: Settings, settings: Settings): void {
    const { log, fixedKeys, secretKeys = [] } = this.#options;
    const keys = (Object.keys(settings) as (keyof Settings)[]).filter((key) =>
      format(previous[key]) !== format(settings[key])
    );
    const describe = (key: keyof Settings): string =>
      secretKeys.includes(key)
        ? String(key)
        : `${String(key)}: ${format(previous[key])} to ${
          format(settings[key])
        }`;
    const fixed = keys.filter((key) => fixedKeys.includes(key));
    const applied = keys.filter((key) => !fixedKeys.includes(key));
    if (applied.length > 0) {
      log(LOG_EVENTS.settingsApplied, { changed: applied.map(describe) });
    }
    if (fixed.length > 0) {
      log(LOG_EVENTS.settingsNeedRestart, { changed: fixed.map(describe) });
    }
  }
}

function format(value: unknown): string {
  return JSON.stringify(value) ?? "none";
}
