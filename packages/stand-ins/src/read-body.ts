import type { IncomingMessage } from 'node:http'

/**
 * Reads the whole body of a request.
 * @param request the request
 * @throws {Error} if the connection breaks first
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
}
