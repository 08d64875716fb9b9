import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { AnswerReport } from './answer-report.js'
import type { EndpointAnswers } from './endpoint-answers.js'
import { reportedEndpoints } from './reported-endpoints.js'

/** Length of a window, in milliseconds. The current window and the one before are counted. */
const WINDOW_MS = 1_000

/** Answers of one endpoint in one window. */
interface WindowCount {
  readonly endpoint: EndpointEntry
  answers: number
  failures: number
}

type WindowCounts = Map<string, WindowCount>

/** Answers and failures of endpoints that this router got within the last two windows. */
export class AnswerCounts {
  private readonly _clock: ElapsedClock
  private _window = -Infinity
  private _current: WindowCounts = new Map()
  private _previous: WindowCounts = new Map()

  /**
   * @param clock divides the time into windows
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /**
   * Counts an answer.
   * @param endpoint the endpoint, as it was when the request was sent
   * @param isFailure whether it failed the request
   */
  record (endpoint: EndpointEntry, isFailure: boolean): void {
    this._moveWindows()
    let count = this._current.get(endpoint.id)
    if (count?.endpoint.startedAt !== endpoint.startedAt) {
      count = { endpoint, answers: 0, failures: 0 }
      this._current.set(endpoint.id, count)
    }
    count.answers += 1
    if (isFailure) count.failures += 1
  }

  /**
   * Forgets the answers of an endpoint, so that only later ones decide about it.
   * @param endpointId id of the endpoint
   */
  forget (endpointId: string): void {
    this._current.delete(endpointId)
    this._previous.delete(endpointId)
  }

  /**
   * Returns the answers of the counted time.
   * @param maximum maximum number of endpoints that are listed; the others are part of the totals only
   * @param isAlwaysListed returns whether an endpoint is listed also if it did not fail
   */
  report (maximum: number, isAlwaysListed: (endpointId: string) => boolean): AnswerReport {
    this._moveWindows()
    const services: Record<string, [number, number]> = {}
    const listed = new Map<string, EndpointAnswers>()
    for (const { endpoint: { id, service, startedAt }, answers, failures } of [...this._previous.values(), ...this._current.values()]) {
      const total = services[service] ??= [0, 0]
      total[0] += answers
      total[1] += failures
      const known = listed.get(id)
      const isSame = known?.startedAt === startedAt
      listed.set(id, { id, startedAt, answers: answers + (isSame ? known.answers : 0), failures: failures + (isSame ? known.failures : 0) })
    }
    const endpoints = [...listed.values()].filter(({ id, failures }) => failures > 0 || isAlwaysListed(id))
    return { services, endpoints: reportedEndpoints(endpoints, maximum) }
  }

  private _moveWindows (): void {
    const window = Math.floor(this._clock.now() / WINDOW_MS)
    if (window === this._window) return
    this._previous = window === this._window + 1 ? this._current : new Map()
    this._current = new Map()
    this._window = window
  }
}
