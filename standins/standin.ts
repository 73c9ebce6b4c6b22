/** What the stand-ins share: starting, reporting the port, ending. */

import type { Server, ServerResponse } from "node:http";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { listen } from "../src/connection/http_server.ts";
import { messageOf } from "../src/errors.ts";

/** Listens on loopback and prints one JSON line with the port. */
export async function runStandin(server: Server): Promise<void> {
  const { port } = await yargs(hideBin(process.argv))
    .option("port", { type: "number", default: 0 })
    .strict()
    .parse();
  server.keepAliveTimeout = 60_000;
  const bound = await listen(server, "127.0.0.1", port);
  process.stdout.write(`${JSON.stringify({ port: bound })}\n`);
  process.once("SIGTERM", () => process.exit(0));
}

/** Returns a handler that ends a response after an unexpected error. */
export function writeStandinError(
  response: ServerResponse,
): (error: unknown) => void {
  return (error) => {
    process.stderr.write(`${messageOf(error)}\n`);
    response.destroy();
  };
}

/** Prints that something ran; the line outlives the process. */
export function announceRun(key: string): void {
  process.stdout.write(`${JSON.stringify({ run: key })}\n`);
}
