/** Parts of prompts that crash the stand-in for a backend server. */

/** Start of the id of such a part. */
export const DEADLY_PART_PREFIX = "dead";
/** Exit code of a stand-in that such a part has crashed. */
export const CRASH_EXIT_CODE = 70;

/** Whether a prompt, given as `ID:TOKENS` entries, has such a part. */
export function hasDeadlyPart(promptPrefix: string): boolean {
  const parts = promptPrefix.split(",").slice(0, -1);
  return parts.some((part) => part.trim().startsWith(DEADLY_PART_PREFIX));
}
