/** What a caller of the demo saw of one chat. */
export interface DemoAnswer {
  readonly endpoint: string
  readonly text: string
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Whether the stream ended with its last event. */
  readonly whole: boolean
}
