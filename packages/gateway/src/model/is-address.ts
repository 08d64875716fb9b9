const ADDRESS = /^([\w.-]+):(\d{1,5})$/
const MAXIMUM_PORT = 65_535

/**
 * Whether a value is an address of the form host:port, with a port that exists.
 * @param value the value
 */
export function isAddress (value: unknown): value is string {
  const port = typeof value === 'string' ? ADDRESS.exec(value)?.[2] : undefined
  return port !== undefined && Number(port) >= 1 && Number(port) <= MAXIMUM_PORT
}
