/** Startup, port output and shutdown, which all stand-ins share. */

import { createServer, type Server, type ServerResponse } from "node:http";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { listen } from "../src/connection/http_server.ts";
import { messageOf } from "../src/errors.ts";

/**
 * Listens on loopback on `--port` and on `--extra-ports` further ports, and
 * prints the ports as one JSON line.
 */
export async function runStandin(server: Server): Promise<void> {
  const { port, extraPorts } = await yargs(hideBin(process.argv))
    .option("port", { type: "number", default: 0 })
    .option("extra-ports", { type: "number", default: 0 })
    .strict()
    .parse();
  server.keepAliveTimeout = 60_000;
  const boundPort = await listen(server, "127.0.0.1", port);
  const ports: Record<string, number> = { port: boundPort };
  for (let index = 0; index < extraPorts; index++) {
    const extraServer = createServer((request, response) => {
      server.emit("request", request, response);
    });
    extraServer.keepAliveTimeout = server.keepAliveTimeout;
    ports[`extra${index}`] = await listen(extraServer, "127.0.0.1", 0);
  }
  process.stdout.write(`${JSON.stringify(ports)}\n`);
  process.once("SIGTERM", () => process.exit(0));
}

/** Returns a handler that prints an error and closes the connection. */
export function writeStandinError(
  response: ServerResponse,
): (error: unknown) => void {
  return (error) => {
    process.stderr.write(`${messageOf(error)}\n`);
    response.destroy();
  };
}

/** Prints the key of a run, so that the record survives a kill. */
export function announceRun(key: string): void {
  process.stdout.write(`${JSON.stringify({ run: key })}\n`);
}
