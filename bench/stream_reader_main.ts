/** Process that reads streams and serves its measurements over HTTP. */

import { createServer } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { listen, sendJson } from "../src/connection/http_server.ts";
import { StreamReader } from "./stream_reader.ts";

const args = await yargs(hideBin(process.argv))
  .option("address", { type: "string", array: true, demandOption: true })
  .option("direct", { type: "boolean", default: false })
  .option("streams", { type: "number", demandOption: true })
  .option("pause-ms", { type: "number", default: 5 })
  .option("max-tokens", { type: "number", default: 20_000 })
  .strict()
  .parse();

const reader = StreamReader.create();
const server = createServer((request, response) => {
  if (request.url === "/reset") reader.reset();
  sendJson(response, 200, reader.results());
});
const port = await listen(server, "127.0.0.1", 0);
process.stdout.write(`${JSON.stringify({ port })}\n`);
for (let index = 0; index < args.streams; index++) {
  reader.open({
    address: args.address[index % args.address.length] ?? "",
    isDirect: args.direct,
    maxTokens: args.maxTokens,
  });
  await sleep(args.pauseMs);
}
