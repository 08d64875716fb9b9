import type { Fleet } from '../fleet/fleet.js'

const PAUSE_MS = 20
const ANSWER_TOKENS = 60
const DONE = 'data: [DONE]'

/** Streamed chats through all routers in turn, while routers stop and endpoints leave. */
export class ChatLoad {
  completed = 0
  /** Refused before the first byte of an answer. */
  refused = 0
  /** Answers that began and broke off, though the router that the caller had reached was not killed. */
  cutOff = 0
  /** Answers that broke off because the bench killed the caller's own router. */
  lostWithRouter = 0
  /** Routers that the bench killed. */
  readonly killed = new Set<string>()
  private readonly _fleet: Fleet
  private _next = 0

  /**
   * @param fleet the routers
   */
  constructor (fleet: Fleet) {
    this._fleet = fleet
  }

  /**
   * Keeps chats in flight until the signal aborts.
   * @param concurrency chats at once
   * @param signal no new chat starts after it aborts
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
    this._next += 1
    const router = this._fleet.routers[this._next % Math.max(1, this._fleet.routers.length)]
    if (router === undefined) return
    let begun = false
    let text = ''
    try {
      const answer = await fetch(`http://${router.addresses.callers}/v1/chat/completions`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha', 'mimosarock-chat': chat, connection: 'close' },
        body: JSON.stringify({ model: 'm', stream: true, max_tokens: ANSWER_TOKENS, messages: [{ role: 'user', content: `Hello from ${chat}` }] })
      })
      begun = answer.ok
      text = await answer.text()
    } catch {
      // Counted below by what has arrived.
    }
    if (text.includes(DONE)) this.completed += 1
    else if (!begun) this.refused += 1
    else if (this.killed.has(router.process.id)) this.lostWithRouter += 1
    else this.cutOff += 1
  }
}
