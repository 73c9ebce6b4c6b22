/** What the stand-ins share: starting, reporting the port, ending. */

import { createServer, type Server, type ServerResponse } from "node:http";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { listen } from "../src/connection/http_server.ts";
import { messageOf } from "../src/errors.ts";

/**
 * Listens on loopback and prints one JSON line with the port, and with those of
 * `--extra-ports`, on which the same stand-in answers too.
 */
export async function runStandin(server: Server): Promise<void> {
  const { port, extraPorts } = await yargs(hideBin(process.argv))
    .option("port", { type: "number", default: 0 })
    .option("extra-ports", { type: "number", default: 0 })
    .strict()
    .parse();
  server.keepAliveTimeout = 60_000;
  const bound = await listen(server, "127.0.0.1", port);
  const ports: Record<string, number> = { port: bound };
  for (let index = 0; index < extraPorts; index++) {
    const extra = createServer((request, response) => {
      server.emit("request", request, response);
    });
    extra.keepAliveTimeout = server.keepAliveTimeout;
    ports[`extra${index}`] = await listen(extra, "127.0.0.1", 0);
  }
  process.stdout.write(`${JSON.stringify(ports)}\n`);
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
