/** Requests to an entry of a local cluster, as text on raw connections. */

import {
  bearerKey,
  GENERATION_SERVICE,
  PLAIN_SERVICE,
} from "../bench/local_deployment.ts";

/** Path of the plain service at an entry. */
export const SERVICE_PATH = `/services/${PLAIN_SERVICE}`;

/** Formats a request of the customer `alpha`. */
export function formatEntryRequest(
  line: string,
  body = "",
  headers: readonly string[] = [],
): string {
  const lines = [
    `${line} HTTP/1.1`,
    "Host: entry",
    `Authorization: Bearer ${bearerKey("alpha")}`,
    `Content-Length: ${body.length}`,
    ...headers,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Formats a request for a completion that is not streamed. */
export function formatCompletion(maxTokens: number): string {
  const fields = { model: GENERATION_SERVICE, prompt: "roof" };
  const body = JSON.stringify({ ...fields, max_tokens: maxTokens });
  return formatEntryRequest("POST /v1/completions", body);
}

/** Formats a non-idempotent call; the key also counts its runs. */
export function formatAction(key: string): string {
  return formatEntryRequest(
    `POST ${SERVICE_PATH}/bookings`,
    JSON.stringify({ key }),
    [`Idempotency-Key: ${key}`],
  );
}
