/** Checks network addresses from untrusted input, and splits them. */

import { isIPv4, isIPv6 } from "node:net";

/** An IPv4 address, or an IPv6 address in brackets, and a port. */
const ADDRESS = /^(?:([\d.]+)|\[([\da-f:.]+)\]):([1-9]\d{0,4})$/i;
const PORT_MAX = 65_535;

/**
 * Whether a text is `IP:port` with a port from 1 to 65,535. A request to any
 * other address throws before it is sent, or triggers a DNS lookup.
 */
export function isAddress(text: string): boolean {
  const [, ipv4 = "", ipv6 = "", port] = ADDRESS.exec(text) ?? [];
  return (isIPv4(ipv4) || isIPv6(ipv6)) && Number(port) <= PORT_MAX;
}

/** Splits `IP:port`; an IPv6 address may have brackets. */
export function splitAddress(
  address: string,
): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(colon + 1)),
  };
}
