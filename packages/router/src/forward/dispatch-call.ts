/** One call that is to run at one endpoint, as the entry router hands it to the endpoint's owner. */
export interface DispatchCall {
  /** Names the call in logs and the stream at the engine; the same in every try of one call. */
  readonly requestId: string
  readonly pool: string
  readonly endpoint: string
  readonly workspace: string
  /** Configured route, for its deadline and whether it may be repeated. */
  readonly route: string
  /** The chat's affinity key in hexadecimal; empty for plain services. */
  readonly affinityKey: string
  readonly method: string
  /** Path and query at the endpoint. */
  readonly path: string
  /** Headers for the endpoint; hop-by-hop headers are left out. */
  readonly headers: Readonly<Record<string, string>>
  /** Whole body, or a stream that can be sent once. */
  readonly body: Uint8Array | AsyncIterable<Uint8Array> | undefined
  /** Time left for the whole call when it was handed over, in milliseconds. */
  readonly remainingMs: number
  /** How long the owner may keep the call in the endpoint's queue, in milliseconds. */
  readonly waitMs: number
  /** Estimated load that the call brings, in requests of mean size. */
  readonly load: number
  /** Estimated tokens of the prompt, for placement and for carrying context; 0 for plain services. */
  readonly promptTokens: number
  /** First event wanted of a stream that is resumed; undefined for a new call. */
  readonly resumeFrom?: number
  /** Endpoint that displaced chats' directory named as holder of the context, if the entry router knows one. */
  readonly contextHolder?: string
  /** Whether the call gets a connection of its own, so that a failure to connect is known as not run. */
  readonly ownConnection?: boolean
  /** Whether the head of the answer comes at once, before the answer is computed. */
  readonly streamed?: boolean
  /** Tries made before this one for the same call. */
  readonly attempt: number
}
