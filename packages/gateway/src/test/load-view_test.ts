import { expect, test } from 'vitest'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'

function createView (): { clock: { ms: number }, view: LoadView } {
  const clock = { ms: 0 }
  return { clock, view: new LoadView(() => clock.ms) }
}

test('own requests are counted exactly, others as reported last', () => {
  const { view } = createView()
  view.begin('e')
  view.begin('e')
  view.end('e')
  view.report('a', { e: 5 })
  view.report('a', { e: 3 })
  view.report('b', { e: 1, f: 2 })
  expect([view.total('e'), view.total('f'), view.own()]).toEqual([5, 2, { e: 1 }])
})

test('what a router that died reported is forgotten', () => {
  const { clock, view } = createView()
  view.report('a', { e: 5 })
  clock.ms = 1_600
  view.report('b', { e: 1 })
  expect([view.total('e'), view.withoutRouter('c')]).toEqual([1, { e: 1 }])
})

test('a router is not told what it told itself', () => {
  const { view } = createView()
  view.begin('e')
  view.report('a', { e: 5 })
  view.report('b', { e: 2 })
  expect(view.withoutRouter('a')).toEqual({ e: 3 })
})
