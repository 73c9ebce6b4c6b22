/** Which texts are addresses that a request can be sent to. */

import { expect, test } from "vitest";
import { isAddress } from "./address.ts";

test.for(["127.0.0.1:1", "10.0.0.9:65535", "[::1]:80", "[fe80::1.2.3.4]:9"])(
  "%s is an address",
  (text) => {
    expect(isAddress(text)).toBe(true);
  },
);

test.for([
  "",
  ":80",
  "1.2.3.4",
  "1.2.3.4:0",
  "1.2.3.4:080",
  "1.2.3.4:65536",
  "1.2.3.4:-1",
  "1.2.3.4:80\n",
  "1.2.3.4:80/path",
  "256.2.3.4:80",
  "1.2.3:80",
  "::1:80",
  "[::1]",
  "[::g]:80",
  "[1.2.3.4]:80",
  "host.example:80",
])("%j is no address", (text) => {
  expect(isAddress(text)).toBe(false);
});
