/** `gypsumridge check`: checks deployment files without publishing them. */

import { ExitCode } from "../exit_code.ts";
import {
  addFileArguments,
  type Command,
  readDeploymentFiles,
} from "./command.ts";

/** Checks files as one set. */
export const CHECK_COMMAND: Command = {
  usage: "check <files..>",
  describe: "check deployment files as one set",
  options: addFileArguments,
  run: async ({ args, print }) => {
    const { objects } = await readDeploymentFiles(args.files);
    print(`${objects.length} objects, consistent`);
    return ExitCode.Success;
  },
};
