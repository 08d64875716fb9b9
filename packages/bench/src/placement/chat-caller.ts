import { CompletionText } from '@mimosarock/stand-ins/engine/completion-text.js'
import { Agent, request } from 'undici'
import type { ChatArrival } from './chat-arrival.js'
import type { ChatOutcome } from './chat-outcome.js'

const OK = 200
/** Characters that the stand-in engines count as one token. */
const CHARACTERS_PER_TOKEN = 4
const ERROR_EVENT = 'event: error\n'
/** Maximum length of the excerpt of an incorrect response. */
const MAXIMUM_DETAIL_CHARACTERS = 300
const CALL_TIMEOUT_MS = 60_000

/** Sends turns of chats to routers and verifies the responses. */
export class ChatCaller {
  private readonly _agent = new Agent({ connections: 512, pipelining: 1 })

  /**
   * Sends one turn and reads the streamed response.
   * @param address IP address and port of a router
   * @param arrival turn to send
   * @throws {Error} if the connection breaks or the response is not complete within 60 s
   */
  async call (address: string, arrival: ChatArrival): Promise<ChatOutcome> {
    const messages = [{ role: 'user', content: createPrompt(arrival) }]
    const startedAt = performance.now()
    const response = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: this._agent,
      headers: {
        'content-type': 'application/json',
        'mimosarock-workspace': `workspace-${arrival.workspace}`,
        'mimosarock-chat': `chat-${arrival.chat}`
      },
      body: JSON.stringify({ model: 'm', messages, max_tokens: arrival.responseTokens, stream: true, stream_options: { include_usage: true } }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    let text = ''
    let firstTokenMs = NaN
    for await (const chunk of response.body) {
      if (Number.isNaN(firstTokenMs)) firstTokenMs = performance.now() - startedAt
      text += String(chunk)
    }
    const requestId = String(response.headers['x-request-id'] ?? '')
    if (response.statusCode !== OK) {
      const problem = JSON.parse(text) as { run?: string, request_id?: string }
      return { status: response.statusCode, isCorrect: false, isIncomplete: false, isNotRun: problem.run === 'not-run', detail: text.slice(0, MAXIMUM_DETAIL_CHARACTERS), requestId: requestId || (problem.request_id ?? ''), cachedTokens: 0, promptTokens: 0, firstTokenMs: NaN }
    }
    const parsed = parseEvents(text)
    const isCorrect = parsed.content === new CompletionText(messages).text(arrival.responseTokens) && parsed.done
    return { status: OK, isCorrect, isIncomplete: !isCorrect && text.includes(ERROR_EVENT), isNotRun: false, detail: isCorrect ? '' : text.slice(-MAXIMUM_DETAIL_CHARACTERS), requestId, cachedTokens: parsed.cachedTokens, promptTokens: parsed.promptTokens, firstTokenMs }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function createPrompt (arrival: ChatArrival): string {
  const opening = `chat ${arrival.chat} turn ${arrival.turn} `
  return opening.padEnd(arrival.promptTokens * CHARACTERS_PER_TOKEN, '.')
}

interface ParsedEvents {
  content: string
  done: boolean
  cachedTokens: number
  promptTokens: number
}

function parseEvents (text: string): ParsedEvents {
  const parsed: ParsedEvents = { content: '', done: false, cachedTokens: 0, promptTokens: 0 }
  for (const line of text.split('\n')) {
    if (!line.startsWith('data: ')) continue
    const data = line.slice('data: '.length)
    if (data === '[DONE]') {
      parsed.done = true
      continue
    }
    const event = JSON.parse(data) as {
      choices?: Array<{ delta?: { content?: string } }>
      usage?: { prompt_tokens: number, prompt_tokens_details: { cached_tokens: number } }
    }
    parsed.content += event.choices?.[0]?.delta?.content ?? ''
    if (event.usage === undefined) continue
    parsed.cachedTokens = event.usage.prompt_tokens_details.cached_tokens
    parsed.promptTokens = event.usage.prompt_tokens
  }
  return parsed
}
