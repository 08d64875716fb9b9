import type { ChatRequest } from './chat-request.js'

const CHARACTERS_PER_TOKEN = 4

/**
 * Returns the number of prompt tokens: one for every four characters of message content, rounded up, and at least 1.
 * @param messages messages of the request; non-string content counts by the length of its JSON
 */
export function countPromptTokens (messages: ChatRequest['messages']): number {
  let characters = 0
  for (const message of messages) {
    const content = message.content
    characters += typeof content === 'string' ? content.length : JSON.stringify(content ?? '').length
  }
  return Math.max(Math.ceil(characters / CHARACTERS_PER_TOKEN), 1)
}
