import type { DemoAnswer } from './demo-answer.js'

interface Chunk {
  choices?: Array<{ delta?: { content?: string }, message?: { content: string } }>
  usage?: { prompt_tokens: number, prompt_tokens_details?: { cached_tokens?: number } }
}

/** A caller of the demo, with the workspace `alpha`. */
export class DemoCaller {
  /**
   * Sends one turn of a chat.
   * @param router IP number and port of a router's callers' server
   * @param chat name of the chat
   * @param text what the user says
   * @param stream whether the answer is streamed
   * @param tokens length of the answer
   */
  async chat (router: string, chat: string, text: string, stream: boolean, tokens: number): Promise<DemoAnswer> {
    const answer = await fetch(`http://${router}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha', 'mimosarock-chat': chat },
      body: JSON.stringify({
        model: 'm',
        messages: [{ role: 'user', content: text }],
        max_tokens: tokens,
        stream,
        ...(stream && { stream_options: { include_usage: true } })
      })
    })
    const body = await answer.text()
    const chunks = stream ? eventsOf(body) : [JSON.parse(body) as Chunk]
    const usage = chunks.find((chunk) => chunk.usage !== undefined)?.usage
    return {
      endpoint: answer.headers.get('mimosarock-endpoint') ?? '',
      text: chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? chunk.choices?.[0]?.message?.content ?? '').join(''),
      promptTokens: usage?.prompt_tokens ?? 0,
      cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
      whole: stream ? body.includes('data: [DONE]') : answer.ok
    }
  }

  /**
   * Pays once.
   * @param router IP number and port of a router's callers' server
   * @param key Idempotency-Key
   * @param body what is paid
   */
  async pay (router: string, key: string, body: string): Promise<{ status: number, text: string }> {
    const answer = await fetch(`http://${router}/services/payments/pay`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'mimosarock-workspace': 'alpha',
        'idempotency-key': key,
        'idempotency-key-time': String(Date.now())
      },
      body
    })
    return { status: answer.status, text: await answer.text() }
  }
}

function eventsOf (body: string): Chunk[] {
  const lines = body.split('\n').filter((line) => line.startsWith('data: {'))
  return lines.map((line) => JSON.parse(line.slice('data: '.length)) as Chunk)
}
