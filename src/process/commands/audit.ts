/** `gypsumridge audit`: prints the audit trail of published revisions. */

import { readHistory } from "../../version/publisher.ts";
import { ExitCode } from "../exit_code.ts";
import { type Command, printManifest } from "./command.ts";

/** Prints the audit records of revisions, newest first. */
export const AUDIT_COMMAND: Command = {
  usage: "audit",
  describe: "print the audit trail of changes, newest first",
  options: (argv) =>
    argv
      .option("limit", {
        type: "number",
        default: 20,
        describe: "maximum number of changes",
      })
      .option("json", { type: "boolean", default: false }),
  run: async ({ args, platform, print }) => {
    let count = 0;
    for await (const manifest of readHistory(platform())) {
      if (args.json) print(JSON.stringify(manifest));
      else printManifest(print, manifest);
      count++;
      if (count >= args.limit) break;
    }
    return ExitCode.Success;
  },
};
