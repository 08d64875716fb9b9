/** Response to one turn of a chat, as the caller of the demo received it. */
export interface DemoResponse {
  /** Name of the endpoint that served the turn. */
  readonly endpoint: string
  readonly text: string
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Whether a stream ended with its last event, or a response that was not streamed succeeded. */
  readonly isComplete: boolean
}
