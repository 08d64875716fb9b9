import { CompletionText } from '@mimosarock/stand-ins/engine/completion-text.js'
import { Agent, request } from 'undici'
import type { ChatArrival } from './chat-arrival.js'
import type { ChatOutcome } from './chat-outcome.js'

const OK = 200
/** Characters for which the stand-in engines count one token. */
const CHARACTERS_PER_TOKEN = 4
const ERROR_EVENT = 'event: error\n'
/** Characters of a wrong answer that are shown. */
const DETAIL_CHARACTERS = 300
const CALL_TIMEOUT_MS = 60_000

/** Sends turns of chats and checks the answers. */
export class ChatCaller {
  private readonly _agent = new Agent({ connections: 512, pipelining: 1 })

  /**
   * Sends one turn.
   * @param address IP number and port of a router
   * @param arrival the turn
   */
  async call (address: string, arrival: ChatArrival): Promise<ChatOutcome> {
    const messages = [{ role: 'user', content: textOf(arrival) }]
    const startedAt = performance.now()
    const answer = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this._agent,
      headers: {
        'content-type': 'application/json',
        'mimosarock-workspace': `workspace-${arrival.workspace}`,
        'mimosarock-chat': `chat-${arrival.chat}`
      },
      body: JSON.stringify({ model: 'm', messages, max_tokens: arrival.answerTokens, stream: true, stream_options: { include_usage: true } }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    let text = ''
    let firstTokenMs = NaN
    for await (const chunk of answer.body) {
      if (Number.isNaN(firstTokenMs)) firstTokenMs = performance.now() - startedAt
      text += String(chunk)
    }
    const requestId = String(answer.headers['x-request-id'] ?? '')
    if (answer.statusCode !== OK) {
      const problem = JSON.parse(text) as { run?: string, request_id?: string }
      return { status: answer.statusCode, correct: false, incomplete: false, refusedNotRun: problem.run === 'not-run', detail: text.slice(0, DETAIL_CHARACTERS), requestId: requestId || (problem.request_id ?? ''), cachedTokens: 0, promptTokens: 0, firstTokenMs: NaN }
    }
    const read = readEvents(text)
    const correct = read.content === new CompletionText(messages).text(arrival.answerTokens) && read.done
    return { status: OK, correct, incomplete: !correct && text.includes(ERROR_EVENT), refusedNotRun: false, detail: correct ? '' : text.slice(-DETAIL_CHARACTERS), requestId, cachedTokens: read.cachedTokens, promptTokens: read.promptTokens, firstTokenMs }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function textOf (arrival: ChatArrival): string {
  const opening = `chat ${arrival.chat} turn ${arrival.turn} `
  return opening.padEnd(arrival.promptTokens * CHARACTERS_PER_TOKEN, '.')
}

interface ReadEvents {
  content: string
  done: boolean
  cachedTokens: number
  promptTokens: number
}

function readEvents (text: string): ReadEvents {
  const read: ReadEvents = { content: '', done: false, cachedTokens: 0, promptTokens: 0 }
  for (const line of text.split('\n')) {
    if (!line.startsWith('data: ')) continue
    const data = line.slice('data: '.length)
    if (data === '[DONE]') {
      read.done = true
      continue
    }
    const event = JSON.parse(data) as {
      choices?: Array<{ delta?: { content?: string } }>
      usage?: { prompt_tokens: number, prompt_tokens_details: { cached_tokens: number } }
    }
    read.content += event.choices?.[0]?.delta?.content ?? ''
    if (event.usage === undefined) continue
    read.cachedTokens = event.usage.prompt_tokens_details.cached_tokens
    read.promptTokens = event.usage.prompt_tokens
  }
  return read
}
