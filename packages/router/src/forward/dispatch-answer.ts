/** An endpoint's answer whose head has arrived. */
export interface DispatchAnswer {
  readonly status: number
  /** Headers in lower case; hop-by-hop headers are left out. */
  readonly headers: Readonly<Record<string, string>>
  /** Ends with an error if the answer breaks off or falls silent; ending early cancels the call. */
  readonly body: AsyncIterable<Uint8Array>
  /** Endpoint that answers. */
  readonly endpoint: string
}
