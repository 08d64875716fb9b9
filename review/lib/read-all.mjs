/** Reads a request or response to its end. */
export async function readAll (stream) {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return Buffer.concat(chunks)
}
