/** An answer whose head has arrived. */
export interface HttpAnswer {
  readonly status: number
  /** Headers in lower case, hop-by-hop headers left out. */
  readonly headers: Record<string, string>
  /** Ends with an error if the answer breaks off or falls silent; ending early drops the connection. */
  readonly body: AsyncIterable<Uint8Array>
}
