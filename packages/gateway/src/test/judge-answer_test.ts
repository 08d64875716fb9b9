import { expect, test } from 'vitest'
import { judgeAnswer } from '@mimosarock/gateway/outliers/judge-answer.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { headerCodec } from './header-codec.js'

const usual = { isPaused: false, isDeadlineOver: false, elapsedMs: 1_000 }
const signed = ['signature', 's']

// Guards against sound endpoints that are held responsible for mistakes of callers, for requests that did not run, and for slow callers.
test.each([
  ['a response', CallOutcome.COMPLETE, 200, signed, usual, 'answered'],
  ['a server error', CallOutcome.COMPLETE, 500, signed, usual, 'failed'],
  ['a server error that something else sent', CallOutcome.COMPLETE, 502, [], usual, 'none'],
  ['a mistake of the caller', CallOutcome.COMPLETE, 422, signed, usual, 'answered'],
  ['an endpoint with the address of another one', CallOutcome.COMPLETE, 421, signed, usual, 'none'],
  ['a rejection', CallOutcome.REJECTED, 503, [...signed, 'not-run', '1'], usual, 'none'],
  ['a request that was not sent', CallOutcome.NOT_SENT, undefined, [], usual, 'none'],
  ['a reset', CallOutcome.NO_ANSWER, undefined, [], usual, 'failed'],
  ['a broken stream', CallOutcome.BROKEN, 200, signed, usual, 'failed'],
  ['a stream that the caller read too slowly', CallOutcome.BROKEN, 200, signed, { ...usual, isPaused: true }, 'none'],
  ['a stream that can not be resumed by a mistake of the caller', CallOutcome.BROKEN, 404, signed, usual, 'none'],
  ['a time-out', CallOutcome.ABORTED, undefined, [], { ...usual, isDeadlineOver: true }, 'failed'],
  ['a time-out of a caller without patience', CallOutcome.ABORTED, undefined, [], { ...usual, isDeadlineOver: true, elapsedMs: 100 }, 'none'],
  ['a time-out in the middle of a response', CallOutcome.ABORTED, 200, signed, { ...usual, isDeadlineOver: true }, 'none'],
  ['a call that the caller ended', CallOutcome.ABORTED, undefined, [], usual, 'none']
] as const)('%s', (_, outcome, status, headers, circumstances, verdict) => {
  const head = status === undefined ? undefined : headerCodec.readResponseHead(status, headers)
  expect(judgeAnswer({ outcome, head, isConnectionLost: false, problem: undefined }, circumstances)).toBe(verdict)
})
