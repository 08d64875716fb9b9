import type { ChatMessage } from './chat-message.js'
import { hash } from './hash.js'

/** Separator between the fields of the hashed text; it cannot occur in a header value. */
const FIELD_SEPARATOR = '\n'

/** Maximum number of opening messages that are hashed if none of them has the role `user`. */
const MAXIMUM_OPENING_MESSAGES = 4

/**
 * Computes affinity keys, which place all turns of a chat at the same endpoint. A key is a 64-bit hash, written
 * as 16 hexadecimal digits. Equal input results in equal keys on every router.
 *
 * @example
 * AffinityKey.forRequest('alpha', request.headers['mimosarock-chat'], body.messages)
 */
export class AffinityKey {
  /**
   * Returns the key of a chat that the caller identifies in the chat header.
   * @param workspace name of the workspace
   * @param chat value of the chat header
   */
  static forChat (workspace: string, chat: string): string {
    return hash.h64ToString(`chat${FIELD_SEPARATOR}${workspace}${FIELD_SEPARATOR}${chat}`)
  }

  /**
   * Returns the key of a chat identified by its opening messages, up to and including the first user message;
   * later turns repeat them. Chats with the same opening share a key and therefore the cached prefix.
   * @param workspace name of the workspace
   * @param messages messages of the request, oldest first
   */
  static forMessages (workspace: string, messages: readonly ChatMessage[]): string {
    const firstUser = messages.findIndex((message) => message.role === 'user')
    const count = firstUser < 0 ? MAXIMUM_OPENING_MESSAGES : firstUser + 1
    const opening = messages.slice(0, count).map((message) => [message.role, message.content ?? ''])
    return hash.h64ToString(`opening${FIELD_SEPARATOR}${workspace}${FIELD_SEPARATOR}${JSON.stringify(opening)}`)
  }

  /**
   * Returns the key of a request, derived from the chat header if present and from the opening messages otherwise.
   * @param workspace name of the workspace
   * @param chat value of the chat header; undefined or empty if the request has none
   * @param messages messages of the request, oldest first
   */
  static forRequest (workspace: string, chat: string | undefined, messages: readonly ChatMessage[]): string {
    if (chat !== undefined && chat !== '') return AffinityKey.forChat(workspace, chat)
    return AffinityKey.forMessages(workspace, messages)
  }
}
