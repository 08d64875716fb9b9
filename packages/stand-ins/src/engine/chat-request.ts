/** Fields of a chat completion request that the stand-in reads. */
export interface ChatRequest {
  readonly model: string
  readonly messages: ReadonlyArray<{ readonly role: string, readonly content: unknown }>
  readonly stream?: boolean
  readonly max_tokens?: number
  readonly max_completion_tokens?: number
  readonly stream_options?: { readonly include_usage?: boolean }
}
