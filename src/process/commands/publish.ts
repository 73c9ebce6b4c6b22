/** `gypsumridge publish`: replaces the deployment in force. */

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
  describe: "validate files as one deployment and put it in force",
  options: (argv) => addChangeOptions(addFileArguments(argv)),
  run: async (context) => {
    const { objects } = await readDeploymentFiles(context.args.files);
    return await publishObjects(context, () => objects);
  },
};

/**
 * Publishes the objects that `change` returns for the revision in force.
 *
 * Errors: `PublishConflict` if another operator published first or the
 * revision in force is not `args.base`.
 */
export async function publishObjects(
  { args, platform, print }: CommandContext,
  change: (base: PublishedRevision | undefined) => readonly DeploymentObject[],
): Promise<ExitCode> {
  const store = platform();
  const base = await readPublishedRevision(store);
  checkBase(base, args.base);
  const manifest = await publish(store, {
    operator: args.operator,
    reason: args.reason,
    objects: change(base),
    base,
  });
  printManifest(print, manifest);
  return ExitCode.Success;
}

function checkBase(
  base: PublishedRevision | undefined,
  expected: number | undefined,
): void {
  if (expected === undefined || expected === base?.head.revision) return;
  if (base !== undefined) throw new PublishConflict(base.manifest);
  if (expected > 0) {
    throw new Error(`base ${expected}: no revision is published yet`);
  }
}
