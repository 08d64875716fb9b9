import type { Fleet } from '../fleet/fleet.js'

const PAUSE_MS = 20
const RESPONSE_TOKENS = 60
const DONE = 'data: [DONE]'

/** Load of streamed chats, sent to all routers in turn while routers stop and endpoints are retired. */
export class ChatLoad {
  /** Chats whose stream ended with its last event. */
  completed = 0
  /** Chats that failed before a successful response began. */
  refused = 0
  /** Responses that were cut off although the bench did not kill the router that the caller was connected to. */
  cutOff = 0
  /** Responses that were cut off because the bench killed the router that the caller was connected to. */
  lostWithRouter = 0
  /** Ids of the routers that the bench killed. */
  readonly killedRouters = new Set<string>()
  private readonly _fleet: Fleet
  private _chatsStarted = 0

  /**
   * @param fleet fleet that serves the chats
   */
  constructor (fleet: Fleet) {
    this._fleet = fleet
  }

  /**
   * Keeps chats in flight until the signal aborts.
   * @param concurrency number of chats in flight at once
   * @param signal stops new chats; chats in flight finish first
   */
  async run (concurrency: number, signal: AbortSignal): Promise<void> {
    await Promise.all(Array.from({ length: concurrency }, async (_, chat) => {
      while (!signal.aborted) {
        await this._chat(`chat-${chat}`)
        await new Promise((resolve) => setTimeout(resolve, PAUSE_MS))
      }
    }))
  }

  private async _chat (chat: string): Promise<void> {
    this._chatsStarted += 1
    const router = this._fleet.routers[this._chatsStarted % Math.max(1, this._fleet.routers.length)]
    if (router === undefined) return
    let isStarted = false
    let text = ''
    try {
      const response = await fetch(`http://${router.addresses.callers}/v1/chat/completions`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha', 'mimosarock-chat': chat, connection: 'close' },
        body: JSON.stringify({ model: 'm', stream: true, max_tokens: RESPONSE_TOKENS, messages: [{ role: 'user', content: `Hello from ${chat}` }] })
      })
      isStarted = response.ok
      text = await response.text()
    } catch {
      // The received part of the response determines below how the chat is counted.
    }
    if (text.includes(DONE)) this.completed += 1
    else if (!isStarted) this.refused += 1
    else if (this.killedRouters.has(router.process.id)) this.lostWithRouter += 1
    else this.cutOff += 1
  }
}
