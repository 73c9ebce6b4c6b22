/** `gypsumridge show`: prints the deployment in force as INI. */

import { formatDeployment } from "../../version/format_deployment.ts";
import { readPublishedRevision } from "../../version/publisher.ts";
import { ExitCode } from "../exit_code.ts";
import type { Command } from "./command.ts";

/** Prints the deployment in force. */
export const SHOW_COMMAND: Command = {
  usage: "show",
  describe: "print the deployment in force as INI",
  options: (argv) => argv,
  run: async ({ platform, print }) => {
    const published = await readPublishedRevision(platform());
    if (published === undefined) {
      print("; no revision is published");
      return ExitCode.Failure;
    }
    print(`; revision ${published.head.revision}`);
    print(formatDeployment(published.objects).trimEnd());
    return ExitCode.Success;
  },
};
