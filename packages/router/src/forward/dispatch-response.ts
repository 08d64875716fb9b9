/** A response of an endpoint whose head has been received. */
export interface DispatchResponse {
  readonly status: number
  /** Headers with lower-case names, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>
  /** Throws if the response ends prematurely or stalls; ending the iteration early cancels the call. */
  readonly body: AsyncIterable<Uint8Array>
  /** Name of the endpoint that sent the response. */
  readonly endpoint: string
}
