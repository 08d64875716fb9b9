/**
 * Parses a line of a connection for slot grants.
 * @param line the line, without its end
 * @returns undefined if it is not JSON
 */
export function parseLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}
