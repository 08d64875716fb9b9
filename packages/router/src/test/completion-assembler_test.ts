import { describe, expect, test } from 'vitest'
import { CompletionAssembler } from '../responses/completion-assembler.js'

function assemble (...chunks: unknown[]): unknown {
  const assembler = new CompletionAssembler()
  const text = chunks.map((chunk, id) => `id: ${id}\ndata: ${JSON.stringify(chunk)}\n\n`).join('') + 'data: [DONE]\n\n'
  const bytes = Buffer.from(text)
  // Chunks of 7 bytes split events and multi-byte characters.
  for (let start = 0; start < bytes.length; start += 7) assembler.push(bytes.subarray(start, start + 7))
  return JSON.parse(assembler.finish())
}

const delta = (index: number, fields: object, finish: string | null = null): object => ({ id: 'c', model: 'm', object: 'chat.completion.chunk', choices: [{ index, delta: fields, finish_reason: finish }] })

describe('assembling streamed responses', () => {
  test('concatenates text whose multi-byte characters are split between chunks', () => {
    expect(assemble(delta(0, { role: 'assistant', content: 'žluť' }), delta(0, { content: 'oučký қазақ' }), delta(0, {}, 'stop'), { id: 'c', model: 'm', choices: [], usage: { completion_tokens: 2 } })).toMatchInlineSnapshot(`
      {
        "choices": [
          {
            "finish_reason": "stop",
            "index": 0,
            "logprobs": null,
            "message": {
              "content": "žluťoučký қазақ",
              "role": "assistant",
            },
          },
        ],
        "id": "c",
        "model": "m",
        "object": "chat.completion",
        "usage": {
          "completion_tokens": 2,
        },
      }
    `)
  })

  test('merges tool calls and choices by their index', () => {
    expect(assemble(
      delta(1, { role: 'assistant', tool_calls: [{ index: 0, id: 'a', type: 'function', function: { name: 'find', arguments: '{"x"' } }] }),
      delta(0, { role: 'assistant', content: 'one' }, 'stop'),
      delta(1, { tool_calls: [{ index: 0, function: { arguments: ':1}' } }, { index: 1, id: 'b', type: 'function', function: { name: 'get', arguments: '' } }] }),
      delta(1, {}, 'tool_calls')
    )).toMatchObject({
      choices: [
        { index: 0, message: { content: 'one' }, finish_reason: 'stop' },
        {
          index: 1,
          finish_reason: 'tool_calls',
          message: { tool_calls: [{ id: 'a', type: 'function', function: { name: 'find', arguments: '{"x":1}' } }, { id: 'b', type: 'function', function: { name: 'get', arguments: '' } }] }
        }
      ]
    })
  })
})
