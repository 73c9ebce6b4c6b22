/** Logs each registration that names no usable server, once until it changes. */

import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import type { UnusableField } from "./registered_server.ts";

/** Longest name in a log line, in characters. */
const LOGGED_NAME_MAX = 80;
/** Registrations that are remembered; the oldest are logged again. */
const REMEMBERED_MAX = 1_000;

/** The unusable registrations that were logged. */
export class UnusableRegistrations {
  readonly #log: Log;
  /** The field that was logged, by name of the registration. */
  readonly #fields = new Map<string, string>();

  private constructor(log: Log) {
    this.#log = log;
  }

  /** Creates an empty set. */
  static create(log: Log): UnusableRegistrations {
    return new UnusableRegistrations(log);
  }

  /** Logs a registration unless it was unusable for the same field before. */
  record(name: string, { field, expected, found }: UnusableField): void {
    if (this.#fields.get(name) === field) return;
    this.forget(name);
    this.#fields.set(name, field);
    const oldest = this.#fields.keys().next().value;
    if (this.#fields.size > REMEMBERED_MAX && oldest !== undefined) {
      this.forget(oldest);
    }
    this.#log(LOG_EVENTS.registrationUnusable, {
      registration: name.slice(0, LOGGED_NAME_MAX),
      field,
      expected,
      found,
    });
  }

  /** Records that a registration is usable or was removed. */
  forget(name: string): void {
    this.#fields.delete(name);
  }
}
