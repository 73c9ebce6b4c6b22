/** List of all commands of the operators' tool. */

import { AUDIT_COMMAND } from "./audit.ts";
import { CHECK_COMMAND } from "./check.ts";
import type { Command } from "./command.ts";
import { EVENTS_COMMAND } from "./events.ts";
import { PUBLISH_COMMAND } from "./publish.ts";
import { SHOW_COMMAND } from "./show.ts";
import { STATUS_COMMAND } from "./status.ts";
import { WITHDRAW_COMMAND } from "./withdraw.ts";

/** The commands, in the order of the help text. */
export const COMMANDS: readonly Command[] = [
  CHECK_COMMAND,
  PUBLISH_COMMAND,
  WITHDRAW_COMMAND,
  SHOW_COMMAND,
  STATUS_COMMAND,
  AUDIT_COMMAND,
  EVENTS_COMMAND,
];
