/** `gypsumridge check`: validates deployment files without publishing them. */

import { ExitCode } from "../exit_code.ts";
import {
  addFileArguments,
  type Command,
  readDeploymentFiles,
} from "./command.ts";

/** Validates files as one deployment. */
export const CHECK_COMMAND: Command = {
  usage: "check <files..>",
  describe: "validate files as one deployment without publishing them",
  options: addFileArguments,
  run: async ({ args, print }) => {
    const { objects } = await readDeploymentFiles(args.files);
    print(`${objects.length} objects, consistent`);
    return ExitCode.Success;
  },
};
