/** Announces that an endpoint now holds the cached context of a key. */
export interface HolderNote {
  /** Key of the context: identity of the last part that the prompt shares with others. */
  readonly key: string
  /** Identity of the endpoint that holds the context. */
  readonly endpointId: string
}
