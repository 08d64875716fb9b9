import type { ChatMessage } from './chat-message.js'
import { hash } from './hash.js'

/** Separates the fields of a hashed text; it can't occur in a header. */
const SEPARATOR = '\n'

/** Messages looked at when none of them is the user's. */
const MAXIMUM_OPENING_MESSAGES = 4

/**
 * Makes the key under which all turns of one chat are placed: 64 bits as 16 hexadecimal digits. Equal input
 * gives equal keys on every router.
 *
 * @example
 * AffinityKey.forRequest('alpha', request.headers['mimosarock-chat'], body.messages)
 */
export class AffinityKey {
  /**
   * Key of a chat that its caller names.
   * @param workspace name of the workspace
   * @param chat value of the chat header
   */
  static forChat (workspace: string, chat: string): string {
    return hash.h64ToString(`chat${SEPARATOR}${workspace}${SEPARATOR}${chat}`)
  }

  /**
   * Key of a chat known by its opening: everything up to the first user message, which later turns repeat.
   * Two chats with the same opening share a key, and with it the cached prefix.
   * @param workspace name of the workspace
   * @param messages messages of the request, oldest first
   */
  static forMessages (workspace: string, messages: readonly ChatMessage[]): string {
    const firstUser = messages.findIndex((message) => message.role === 'user')
    const count = firstUser < 0 ? MAXIMUM_OPENING_MESSAGES : firstUser + 1
    const opening = messages.slice(0, count).map((message) => [message.role, message.content ?? ''])
    return hash.h64ToString(`opening${SEPARATOR}${workspace}${SEPARATOR}${JSON.stringify(opening)}`)
  }

  /**
   * Key of a request: by the chat header if it was given, else by the opening messages.
   * @param workspace name of the workspace
   * @param chat value of the chat header; undefined or empty if it was not given
   * @param messages messages of the request, oldest first
   */
  static forRequest (workspace: string, chat: string | undefined, messages: readonly ChatMessage[]): string {
    if (chat !== undefined && chat !== '') return AffinityKey.forChat(workspace, chat)
    return AffinityKey.forMessages(workspace, messages)
  }
}
