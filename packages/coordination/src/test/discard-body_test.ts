import { expect, test } from 'vitest'
import { discardBody } from '@mimosarock/coordination/http/discard-body.js'

// Guards against calls that never end, and hold their place at an endpoint, since the body of a refusal does not end.
test('a body that nobody needs is received for a while and then closed', async () => {
  let chunks = 0
  let isClosed = false
  async function * endless (): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        chunks += 1
        yield Buffer.alloc(16_384)
      }
    } finally {
      isClosed = true
    }
  }
  await discardBody(endless())
  expect([chunks, isClosed]).toEqual([5, true])
})
