/** HTTP response whose head has arrived and whose body is still being received. */
export interface HttpResponse {
  readonly status: number
  /** End-to-end headers by name in lower case. */
  readonly headers: Record<string, string>
  /**
   * Response body. Iteration throws if the connection is lost or the silence timeout expires; ending the iteration
   * early closes the connection.
   */
  readonly body: AsyncIterable<Uint8Array>
}
