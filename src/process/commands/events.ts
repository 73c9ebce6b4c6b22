/** `gypsumridge events`: prints the numbered log events. */

import { LOG_EVENTS } from "../log_events.ts";
import { ExitCode } from "../exit_code.ts";
import type { Command } from "./command.ts";

/** Prints all log events. */
export const EVENTS_COMMAND: Command = {
  usage: "events",
  describe: "print the numbered log events and the operator action for each",
  options: (argv) => argv,
  run: ({ print }) => {
    for (
      const { number, severity, text, action } of Object.values(LOG_EVENTS)
    ) {
      print(`${number} ${severity}: ${text}; action: ${action}`);
    }
    return Promise.resolve(ExitCode.Success);
  },
};
