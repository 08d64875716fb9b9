/** A call to be executed at one endpoint, as the entry router sends it to the endpoint's owner. */
export interface DispatchCall {
  /** Identifies the call in logs and the stream at the engine; the same in all attempts of a call. */
  readonly requestId: string
  readonly pool: string
  readonly endpoint: string
  readonly workspace: string
  /** Configured route, which determines the deadline and whether the call is repeatable. */
  readonly route: string
  /** Affinity key of the chat in hexadecimal; empty for plain services. */
  readonly affinityKey: string
  readonly method: string
  /** Path and query at the endpoint. */
  readonly path: string
  /** Headers for the endpoint, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string>>
  /** Buffered body, or a stream that can be sent only once. */
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined
  /** Time left until the deadline of the call when it was dispatched, in milliseconds. */
  readonly remainingMs: number
  /** Maximum time that the call may wait in the endpoint's queue at the owner, in milliseconds. */
  readonly waitMs: number
  /** Estimated load of the call, in requests of mean size. */
  readonly load: number
  /** Estimated number of prompt tokens, for placement and context transfer; 0 for plain services. */
  readonly promptTokens: number
  /** Id of the first event requested of a resumed stream; undefined for a new call. */
  readonly resumeFrom?: number
  /** Endpoint that holds the chat's context according to a refusal of an earlier attempt; undefined if unknown. */
  readonly contextHolder?: string
  /** Whether the call uses a dedicated connection, so that a connection failure proves that it was not run. */
  readonly ownConnection?: boolean
  /** Whether the endpoint sends the response head immediately, before it computes the response. */
  readonly streamed?: boolean
  /** Number of earlier attempts of the same call. */
  readonly attempt: number
}
