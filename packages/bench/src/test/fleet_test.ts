import { Fleet } from '@mimosarock/bench/fleet/fleet.js'
import { CompletionText } from '@mimosarock/stand-ins/engine/completion-text.js'
import { expect, test } from 'vitest'

test('every router of a fleet serves chats and plain calls, including a router that starts later', async () => {
  const fleet = await Fleet.start({ routers: 2, engines: [{}, {}], platformOverHttp: true })
  try {
    await fleet.startRouter()
    await fleet.submit(fleet.defaultConfiguration())
    const responses = await Promise.all(fleet.routers.map(async (_router, index) => {
      const messages = [{ role: 'user', content: `question ${index}` }]
      const headers = { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha' }
      const chat = await fetch(`http://${fleet.callerAddress(index)}/v1/chat/completions`, {
        method: 'POST',
        headers,
        body: JSON.stringify({ model: 'm', messages, max_tokens: 3 })
      })
      const list = await fetch(`http://${fleet.callerAddress(index)}/services/lists/a?b=c`, { headers })
      const content = (await chat.json() as any).choices[0].message.content
      return { isCorrect: content === new CompletionText(messages).text(3), list: (await list.json() as any).path }
    }))
    expect(responses).toEqual(Array.from({ length: 3 }, () => ({ isCorrect: true, list: '/a?b=c' })))
  } finally {
    await fleet.stop()
  }
})
