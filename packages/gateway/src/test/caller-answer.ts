import type { IncomingHttpHeaders } from 'node:http'

/** An answer as a caller sees it. */
export interface CallerAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  readonly isWhole: boolean
}
