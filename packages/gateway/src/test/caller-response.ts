import type { IncomingHttpHeaders } from 'node:http'

/** Response as a caller receives it. */
export interface CallerResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  readonly isWhole: boolean
}
