import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { mergeDelta } from './merge-delta.js'
import { StreamEventSplitter } from './stream-event-splitter.js'

interface Choice {
  readonly index: number
  message: Record<string, unknown>
  logprobs: unknown
  finish_reason: unknown
}

interface Chunk extends Record<string, unknown> {
  choices?: Array<{ index: number, delta?: Record<string, unknown>, logprobs?: unknown, finish_reason?: unknown }>
}

const DATA_PREFIX = 'data:'
const DONE = '[DONE]'
/** Told with each choice, not of the whole answer. */
const CHOICE_FIELDS = new Set(['choices', 'object'])

/** Puts the events of a streamed chat completion together to the answer that is not streamed. */
export class WholeAnswerAssembler {
  private readonly _splitter = new StreamEventSplitter()
  private readonly _choices = new Map<number, Choice>()
  private readonly _fields: Record<string, unknown> = {}

  /**
   * Takes the next bytes of the stream.
   * @param bytes whole events or parts of them
   * @throws {MimosarockError} ENDPOINT_FAILED if an event is not a chunk of a completion
   */
  push (bytes: Uint8Array): void {
    for (const event of this._splitter.push(bytes)) {
      const text = dataOf(event.bytes.toString('utf8'))
      if (text !== '' && text !== DONE) this._take(parse(text))
    }
  }

  /** The whole completion as JSON. */
  finish (): string {
    const choices = [...this._choices.values()].sort((left, right) => left.index - right.index)
    return JSON.stringify({ ...this._fields, object: 'chat.completion', choices })
  }

  private _take (chunk: Chunk): void {
    for (const [name, value] of Object.entries(chunk)) {
      if (!CHOICE_FIELDS.has(name) && value !== null) this._fields[name] = value
    }
    for (const part of chunk.choices ?? []) {
      const choice = this._choices.get(part.index) ?? { index: part.index, message: {}, logprobs: null, finish_reason: null }
      this._choices.set(part.index, choice)
      mergeDelta(choice.message, part.delta ?? {})
      if (part.logprobs !== null && part.logprobs !== undefined) {
        const merged = (choice.logprobs ?? {}) as Record<string, unknown>
        mergeDelta(merged, part.logprobs as Record<string, unknown>)
        choice.logprobs = merged
      }
      choice.finish_reason = part.finish_reason ?? choice.finish_reason
      // Tells the place of a call in the list while it is streamed; the whole answer has no such field.
      if (part.finish_reason !== null && part.finish_reason !== undefined) dropIndexes(choice.message.tool_calls)
    }
  }
}

function dropIndexes (calls: unknown): void {
  if (!Array.isArray(calls)) return
  for (const call of calls as Array<Record<string, unknown>>) delete call.index
}

function dataOf (event: string): string {
  const lines = event.split('\n').filter((line) => line.startsWith(DATA_PREFIX))
  return lines.map((line) => line.slice(DATA_PREFIX.length).trim()).join('\n')
}

function parse (text: string): Chunk {
  try {
    return JSON.parse(text) as Chunk
  } catch (error) {
    throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'an event of the answer is not JSON', { run: RunState.RAN, cause: error })
  }
}
