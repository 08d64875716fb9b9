const LOOPBACK = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/

/**
 * Returns whether an address is a loopback address, which can only be reached from the same VM.
 * @param address IP address and port
 */
export function isLoopbackAddress (address: string): boolean {
  return LOOPBACK.test(address)
}
