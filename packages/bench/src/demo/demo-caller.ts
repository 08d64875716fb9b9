import type { DemoResponse } from './demo-response.js'

interface Chunk {
  choices?: Array<{ delta?: { content?: string }, message?: { content: string } }>
  usage?: { prompt_tokens: number, prompt_tokens_details?: { cached_tokens?: number } }
}

/** Caller of the demo, which uses the workspace `alpha`. */
export class DemoCaller {
  /**
   * Sends one turn of a chat.
   * @param router IP address and port on which the router accepts callers
   * @param chat name of the chat
   * @param text message of the user
   * @param stream whether the response is streamed
   * @param tokens length of the response, in tokens
   */
  async chat (router: string, chat: string, text: string, stream: boolean, tokens: number): Promise<DemoResponse> {
    const response = await fetch(`http://${router}/v1/chat/completions`, {
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
    const body = await response.text()
    const chunks = stream ? parseEvents(body) : [JSON.parse(body) as Chunk]
    const usage = chunks.find((chunk) => chunk.usage !== undefined)?.usage
    return {
      endpoint: response.headers.get('mimosarock-endpoint') ?? '',
      text: chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? chunk.choices?.[0]?.message?.content ?? '').join(''),
      promptTokens: usage?.prompt_tokens ?? 0,
      cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
      isComplete: stream ? body.includes('data: [DONE]') : response.ok
    }
  }

  /**
   * Sends a payment.
   * @param router IP address and port on which the router accepts callers
   * @param key value of the header `Idempotency-Key`
   * @param body payment as JSON
   * @returns status and body of the response
   */
  async pay (router: string, key: string, body: string): Promise<{ status: number, text: string }> {
    const response = await fetch(`http://${router}/services/payments/pay`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'mimosarock-workspace': 'alpha',
        'idempotency-key': key,
        'idempotency-key-time': String(Date.now())
      },
      body
    })
    return { status: response.status, text: await response.text() }
  }
}

function parseEvents (body: string): Chunk[] {
  const lines = body.split('\n').filter((line) => line.startsWith('data: {'))
  return lines.map((line) => JSON.parse(line.slice('data: '.length)) as Chunk)
}
