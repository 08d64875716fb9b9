import type { IncomingMessage } from 'node:http'

/**
 * Reads the complete body of a request.
 * @param request HTTP request whose body has not been read
 * @throws {Error} if the connection closes before the end of the body
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
}
