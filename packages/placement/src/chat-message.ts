/** Message of a chat request, reduced to the fields that affinity keys are derived from. */
export interface ChatMessage {
  readonly role: string
  /** Text of the message, or an array of content parts as defined by the chat API. */
  readonly content?: unknown
}
