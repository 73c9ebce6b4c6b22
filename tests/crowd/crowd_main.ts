/**
 * One part of a crowd as a process of its own, so that it sends while the test
 * measures. Prints a line once all is sent, and keeps its connections open.
 *
 * Usage: node crowd_main.js NAME CONNECTIONS TARGET, with TARGET as JSON
 */

import process from "node:process";
import { CROWDS, openCrowd, type Target } from "./crowds.ts";

const [name, connections, target = "{}"] = process.argv.slice(2);
const crowd = CROWDS.find((candidate) => candidate.name === name);
if (crowd === undefined) throw new Error(`there is no crowd named "${name}"`);
await openCrowd(
  { ...crowd, connections: Number(connections) },
  JSON.parse(target) as Target,
);
process.stdout.write("sent\n");
// Ends with the process that has started it.
process.stdin.once("close", () => process.exit());
process.stdin.resume();
