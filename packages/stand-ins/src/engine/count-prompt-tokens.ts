import type { ChatRequest } from './chat-request.js'

const CHARACTERS_PER_TOKEN = 4

/**
 * Tokens of a prompt: one for every four characters of its messages' contents, rounded up, and at least 1.
 * @param messages the request's messages
 */
export function countPromptTokens (messages: ChatRequest['messages']): number {
  let characters = 0
  for (const message of messages) {
    const content = message.content
    characters += typeof content === 'string' ? content.length : JSON.stringify(content ?? '').length
  }
  return Math.max(Math.ceil(characters / CHARACTERS_PER_TOKEN), 1)
}
