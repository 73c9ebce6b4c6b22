/** `/healthz`, `/readyz` and `/metrics`, for load balancers and monitoring. */

import { sendJson } from "../connection/http_server.ts";
import { NO_REVISION } from "../ids.ts";
import type { Route } from "./exchange.ts";

/** Reports that the process is running. */
export const HEALTH_ROUTE: Route = {
  method: "GET",
  path: "/healthz",
  handle: (_context, { response }) =>
    Promise.resolve(sendJson(response, 200, { status: "ok" })),
};

/** Reports whether new requests should be sent to this entry. */
export const READY_ROUTE: Route = {
  method: "GET",
  path: "/readyz",
  handle: (context, { response }) => {
    const { revision } = context.revisionStore.deployment;
    const isReady = revision > NO_REVISION && !context.isStopping();
    const status = isReady ? 200 : 503;
    return Promise.resolve(
      sendJson(response, status, { ready: isReady, revision }),
    );
  },
};

/** Returns the metrics in the format of Prometheus. */
export const METRICS_ROUTE: Route = {
  method: "GET",
  path: "/metrics",
  handle: async ({ metrics, serverPool }, { response }) => {
    const { registry } = metrics;
    metrics.servingServers.set(serverPool.servingCount());
    response.writeHead(200, { "content-type": registry.contentType });
    response.end(await registry.metrics());
  },
};
