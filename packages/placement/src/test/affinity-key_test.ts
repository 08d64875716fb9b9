import fc from 'fast-check'
import { expect, test } from 'vitest'
import { AffinityKey } from '../affinity-key.js'

const opening = [{ role: 'system', content: 'You help.' }, { role: 'user', content: 'A list' }]

test('all turns of a chat have the same key', () => {
  const later = [...opening, { role: 'assistant', content: 'Done' }, { role: 'user', content: 'More' }]
  expect(AffinityKey.forRequest('alpha', undefined, later)).toBe(AffinityKey.forRequest('alpha', '', opening))
  expect(AffinityKey.forRequest('alpha', 'c1', later)).toBe(AffinityKey.forChat('alpha', 'c1'))
})

test('keys are the same on every router and release', () => {
  expect([
    AffinityKey.forChat('alpha', 'c1'),
    AffinityKey.forChat('beta', 'c1'),
    AffinityKey.forMessages('alpha', opening),
    AffinityKey.forMessages('alpha', []),
    AffinityKey.forMessages('alpha', [{ role: 'user', content: [{ type: 'text', text: 'A list' }] }])
  ]).toMatchSnapshot()
})

test('a key consists of 16 hexadecimal digits', () => {
  fc.assert(fc.property(fc.string(), fc.string(), (workspace, chat) => {
    expect(AffinityKey.forChat(workspace, chat)).toMatch(/^[0-9a-f]{16}$/)
  }), { seed: 1 })
})
