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
/** Fields of a chunk that are not copied, because `finish` sets them. */
const ASSEMBLED_FIELDS = new Set(['choices', 'object'])

/** Assembles the events of a streamed chat completion into the equivalent non-streaming response. */
export class CompletionAssembler {
  private readonly _splitter = new StreamEventSplitter()
  private readonly _choices = new Map<number, Choice>()
  private readonly _fields: Record<string, unknown> = {}

  /**
   * Appends the next bytes of the stream.
   * @param bytes need not end at an event boundary
   * @throws {MimosarockError} ENDPOINT_FAILED if an event is not valid JSON or exceeds the maximum size
   */
  push (bytes: Uint8Array): void {
    for (const event of this._splitter.push(bytes)) {
      const text = dataOf(event.bytes.toString('utf8'))
      if (text !== '' && text !== DONE) this._mergeChunk(parse(text))
    }
  }

  /** Returns the complete chat completion as JSON. */
  finish (): string {
    const choices = [...this._choices.values()].sort((left, right) => left.index - right.index)
    return JSON.stringify({ ...this._fields, object: 'chat.completion', choices })
  }

  private _mergeChunk (chunk: Chunk): void {
    for (const [name, value] of Object.entries(chunk)) {
      if (!ASSEMBLED_FIELDS.has(name) && value !== null) this._fields[name] = value
    }
    for (const chunkChoice of chunk.choices ?? []) {
      const choice = this._choices.get(chunkChoice.index) ?? { index: chunkChoice.index, message: {}, logprobs: null, finish_reason: null }
      this._choices.set(chunkChoice.index, choice)
      mergeDelta(choice.message, chunkChoice.delta ?? {})
      if (chunkChoice.logprobs !== null && chunkChoice.logprobs !== undefined) {
        const merged = (choice.logprobs ?? {}) as Record<string, unknown>
        mergeDelta(merged, chunkChoice.logprobs as Record<string, unknown>)
        choice.logprobs = merged
      }
      choice.finish_reason = chunkChoice.finish_reason ?? choice.finish_reason
      // `index` gives the position of a tool call while it is streamed; a non-streaming completion has no such field.
      if (chunkChoice.finish_reason !== null && chunkChoice.finish_reason !== undefined) removeIndexes(choice.message.tool_calls)
    }
  }
}

function removeIndexes (toolCalls: unknown): void {
  if (!Array.isArray(toolCalls)) return
  for (const toolCall of toolCalls as Array<Record<string, unknown>>) delete toolCall.index
}

function dataOf (event: string): string {
  const lines = event.split('\n').filter((line) => line.startsWith(DATA_PREFIX))
  return lines.map((line) => line.slice(DATA_PREFIX.length).trim()).join('\n')
}

function parse (text: string): Chunk {
  try {
    return JSON.parse(text) as Chunk
  } catch (error) {
    throw new MimosarockError(ResultCode.ENDPOINT_FAILED, 'a stream event is not valid JSON', { run: RunState.RAN, cause: error })
  }
}
