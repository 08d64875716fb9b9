const LOOPBACK = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[::1\]):\d+$/

/**
 * Whether an address can only be reached from the same VM.
 * @param address IP number and port
 */
export function isLoopbackAddress (address: string): boolean {
  return LOOPBACK.test(address)
}
