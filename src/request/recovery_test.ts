/**
 * Guards the recovery step of each failure: a wrong one suspects a harmless
 * request, or keeps a failed server in use.
 */

import { expect, test } from "vitest";
import { FailureCause } from "../errors.ts";
import { chooseRecovery, RecoveryStep } from "./recovery.ts";

test("each failure has its recovery step", () => {
  const rows = Object.values(FailureCause).flatMap((lossCause) =>
    [0, 1, 2].flatMap((reattachments) =>
      [false, true].map((isSilent) => {
        const isFromCursor = false;
        const step = chooseRecovery({
          lossCause,
          reattachments,
          isFromCursor,
          isSilent,
        });
        const kind = ["started", "reattached", "reattached twice"]
          .at(reattachments);
        const tokens = isSilent ? "no token" : "some tokens";
        return `${lossCause}, ${kind}, ${tokens}: ${step}`;
      })
    )
  );
  expect(rows.join("\n")).toMatchInlineSnapshot(`
    "refused, started, some tokens: try_elsewhere
    refused, started, no token: try_elsewhere
    refused, reattached, some tokens: blame_server_loss
    refused, reattached, no token: blame_server_loss
    refused, reattached twice, some tokens: blame_server_loss
    refused, reattached twice, no token: blame_server_loss
    unreachable, started, some tokens: abandon
    unreachable, started, no token: abandon
    unreachable, reattached, some tokens: blame_server_loss
    unreachable, reattached, no token: blame_server_loss
    unreachable, reattached twice, some tokens: blame_server_loss
    unreachable, reattached twice, no token: blame_server_loss
    no_resources, started, some tokens: try_elsewhere
    no_resources, started, no token: try_elsewhere
    no_resources, reattached, some tokens: try_elsewhere
    no_resources, reattached, no token: try_elsewhere
    no_resources, reattached twice, some tokens: try_elsewhere
    no_resources, reattached twice, no token: try_elsewhere
    closed, started, some tokens: reattach
    closed, started, no token: reattach
    closed, reattached, some tokens: reattach
    closed, reattached, no token: reattach
    closed, reattached twice, some tokens: abandon
    closed, reattached twice, no token: abandon
    stalled, started, some tokens: abandon
    stalled, started, no token: withdraw
    stalled, reattached, some tokens: abandon
    stalled, reattached, no token: withdraw
    stalled, reattached twice, some tokens: abandon
    stalled, reattached twice, no token: withdraw
    time_up, started, some tokens: abandon
    time_up, started, no token: abandon
    time_up, reattached, some tokens: abandon
    time_up, reattached, no token: abandon
    time_up, reattached twice, some tokens: abandon
    time_up, reattached twice, no token: abandon
    silent, started, some tokens: abandon
    silent, started, no token: abandon
    silent, reattached, some tokens: abandon
    silent, reattached, no token: abandon
    silent, reattached twice, some tokens: abandon
    silent, reattached twice, no token: abandon
    gap, started, some tokens: reattach
    gap, started, no token: reattach
    gap, reattached, some tokens: abandon
    gap, reattached, no token: abandon
    gap, reattached twice, some tokens: abandon
    gap, reattached twice, no token: abandon
    preempted, started, some tokens: abandon
    preempted, started, no token: abandon
    preempted, reattached, some tokens: abandon
    preempted, reattached, no token: abandon
    preempted, reattached twice, some tokens: abandon
    preempted, reattached twice, no token: abandon
    wrong_version, started, some tokens: try_elsewhere
    wrong_version, started, no token: try_elsewhere
    wrong_version, reattached, some tokens: try_elsewhere
    wrong_version, reattached, no token: try_elsewhere
    wrong_version, reattached twice, some tokens: try_elsewhere
    wrong_version, reattached twice, no token: try_elsewhere"
  `);
});

test("a stream that lost its reader does not implicate the request", () => {
  const step = chooseRecovery({
    lossCause: FailureCause.Rejected,
    reattachments: 1,
    isFromCursor: true,
    isSilent: true,
  });
  expect(step).toBe(RecoveryStep.RetryElsewhere);
});
