/** Announces that an endpoint now holds the cached context of a key. */
export interface HolderNote {
  /** Key of the context: id of the last part that the prompt shares with other prompts. */
  readonly key: string
  /** Id of the endpoint that holds the context. */
  readonly endpointId: string
}
