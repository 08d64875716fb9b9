import { createHash } from 'node:crypto'
import type { CallerContent } from './caller-content.js'

/** Length of a fingerprint in hexadecimal digits; 64 bits. */
const LENGTH = 16

/**
 * Returns what identifies a request by its content. Unlike the id of the caller's attempt it is the same each time that the request is
 * repeated, by whichever router it arrives.
 * @param content who asks for what
 */
export function requestFingerprint ({ method, host, target, workspace, body }: CallerContent): string {
  // None of the fields before the body can contain a line feed.
  const head = [method, host, target, workspace ?? '', ''].join('\n')
  return createHash('sha256').update(head).update(body).digest('hex').slice(0, LENGTH)
}
