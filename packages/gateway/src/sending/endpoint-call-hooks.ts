import type { ResponseHead } from '../model/response-head.js'
import type { ReadPacer } from './read-pacer.js'

/** What a caller of an endpoint is asked and told while the call goes on. */
export interface EndpointCallHooks {
  /** Limits the time that reads of very short parts take, over all calls; undefined for no limit. */
  readonly readPacer?: ReadPacer
  /** Returns whether the call may still be sent; asked when a connection is free for it. */
  readonly mayStart: () => boolean
  /**
   * Called with the head of each response to the request, before anything else is done with it.
   * @param head head of the response
   */
  readonly headReceived: (head: ResponseHead) => void
}
