/** A response body that was read to its end, or up to the maximum buffer size. */
export interface CollectedResponse {
  /** The buffered body, followed by what the endpoint still sends if the body exceeds the buffer. */
  readonly body: AsyncIterable<Uint8Array>
  /** The failure that ended the body within the bound; undefined if there was none. */
  readonly error: unknown
}
