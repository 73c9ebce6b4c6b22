/** `gypsumridge publish`: puts a whole deployment in force. */

import {
  publish,
  PublishConflict,
  type PublishedRevision,
  readPublishedRevision,
} from "../../version/publisher.ts";
import type { DeploymentObject } from "../../version/types.ts";
import { ExitCode } from "../exit_code.ts";
import {
  addChangeOptions,
  addFileArguments,
  type Command,
  type CommandContext,
  printManifest,
  readDeploymentFiles,
} from "./command.ts";

/** Publishes files as the whole deployment. */
export const PUBLISH_COMMAND: Command = {
  usage: "publish <files..>",
  describe: "check files as one set and put them in force",
  options: (argv) => addChangeOptions(addFileArguments(argv)),
  run: async (run) => {
    const { objects } = await readDeploymentFiles(run.args.files);
    return await publishObjects(run, () => objects);
  },
};

/**
 * Publishes the objects that `change` makes of the revision in force.
 *
 * Errors: `PublishConflict` when another operator's change came first.
 */
export async function publishObjects(
  { args, platform, print }: CommandContext,
  change: (base: PublishedRevision | undefined) => readonly DeploymentObject[],
): Promise<ExitCode> {
  const client = platform();
  const base = await readPublishedRevision(client);
  requireBase(base, args.base);
  const manifest = await publish(client, {
    operator: args.operator,
    reason: args.reason,
    objects: change(base),
    base,
  });
  printManifest(print, manifest);
  return ExitCode.Success;
}

function requireBase(
  base: PublishedRevision | undefined,
  expected: number | undefined,
): void {
  if (expected === undefined || expected === base?.head.revision) return;
  if (base !== undefined) throw new PublishConflict(base.manifest);
  if (expected > 0) {
    throw new Error(`base ${expected}: nothing is published yet`);
  }
}
