/** `/healthz`, `/readyz` and `/metrics`, for load balancers and monitoring. */

import { NO_REVISION } from "../ids.ts";
import { respondJson, type Route, writeHead } from "./exchange.ts";

/** Reports that the process is running. */
export const HEALTH_ROUTE: Route = {
  method: "GET",
  path: "/healthz",
  handle: (_context, exchange) => {
    const value = { status: "ok" };
    return Promise.resolve(respondJson(exchange, { status: 200, value }));
  },
};

/** Reports whether new requests should be sent to this entry. */
export const READY_ROUTE: Route = {
  method: "GET",
  path: "/readyz",
  handle: (context, exchange) => {
    const { revision } = context.revisionStore.deployment;
    const isReady = revision > NO_REVISION && !context.isStopping();
    const status = isReady ? 200 : 503;
    const value = { ready: isReady, revision };
    return Promise.resolve(respondJson(exchange, { status, value }));
  },
};

/** Returns the metrics in the format of Prometheus. */
export const METRICS_ROUTE: Route = {
  method: "GET",
  path: "/metrics",
  handle: async ({ metrics, serverPool }, exchange) => {
    const { registry } = metrics;
    metrics.servingServers.set(serverPool.servingCount());
    const text = await registry.metrics();
    const headers = { "content-type": registry.contentType };
    writeHead(exchange, { status: 200, headers });
    exchange.response.end(text);
  },
};
