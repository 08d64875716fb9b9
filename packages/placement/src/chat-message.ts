/** One message of a chat request, as far as placement reads it. */
export interface ChatMessage {
  readonly role: string
  /** Text, or the parts of a message in the form of the chat API. */
  readonly content?: unknown
}
