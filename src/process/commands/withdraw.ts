/** `gypsumridge withdraw`: removes objects from the deployment in force. */

import { InvalidInput } from "../../errors.ts";
import { checkObjects, objectKey } from "../../version/check_objects.ts";
import type { Finding } from "../../version/finding.ts";
import type { PublishedRevision } from "../../version/publisher.ts";
import type { DeploymentObject } from "../../version/types.ts";
import { addChangeOptions, type Command } from "./command.ts";
import { publishObjects } from "./publish.ts";

/** Removes objects; the remaining ones must be consistent. */
export const WITHDRAW_COMMAND: Command = {
  usage: "withdraw <objects..>",
  describe: "remove objects, each given as KIND/NAME",
  options: (argv) =>
    addChangeOptions(argv.positional("objects", {
      type: "string",
      array: true,
      demandOption: true,
      describe: "objects to remove, for example customer/lock-keepers",
    })),
  run: (run) =>
    publishObjects(run, (base) => withoutObjects(base, run.args.objects)),
};

function withoutObjects(
  base: PublishedRevision | undefined,
  names: readonly string[],
): readonly DeploymentObject[] {
  const objects = base?.objects ?? [];
  const keys = new Set(names.map((name) => name.replace("/", " ")));
  const present = new Set(objects.map(objectKey));
  const source = `revision ${base?.head.revision ?? 0}`;
  const findings: Finding[] = [...keys]
    .filter((key) => !present.has(key))
    .map((key) => ({
      location: { source, line: 0, section: key, key: "" },
      message: "no such object in the revision in force",
    }));
  const remaining = objects.filter((object) => !keys.has(objectKey(object)));
  findings.push(...checkObjects(remaining.map((object) => ({
    object,
    location: { source, line: 0, section: objectKey(object), key: "" },
  }))));
  if (findings.length > 0) throw new InvalidInput(findings);
  return remaining;
}
