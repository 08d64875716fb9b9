import { Agent, request } from 'undici'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { KeyedOutcome } from './keyed-outcome.js'

const CALL_TIMEOUT_MS = 3_000
const MINIMUM_PAUSE_MS = 50
const MAXIMUM_PAUSE_MS = 400

interface Problem {
  readonly run?: string
  readonly code?: number
}

/** Sends calls with idempotency keys through random routers and retries each until its operation has completed. */
export class KeyedCaller {
  private readonly _routers: () => readonly string[]
  private readonly _random: SeededRandom
  private readonly _agent = new Agent({ connections: 256, headersTimeout: CALL_TIMEOUT_MS, bodyTimeout: CALL_TIMEOUT_MS, connectTimeout: 500 })
  private _callCount = 0

  /**
   * @param routers returns the addresses on which routers currently serve callers
   * @param random source of router choices and retry delays
   */
  constructor (routers: () => readonly string[], random: SeededRandom) {
    this._routers = routers
    this._random = random
  }

  /** Number of calls made so far, including retries. */
  get callCount (): number {
    return this._callCount
  }

  /**
   * Sends calls with one key until the operation has completed or the signal aborts.
   * @param outcome key and body to send; updated with each result
   * @param signal stops further attempts; a call in flight is completed first
   */
  async run (outcome: KeyedOutcome, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && outcome.doneAt === undefined) {
      const callId = `${outcome.key}/${outcome.callIds.length}`
      outcome.callIds.push(callId)
      this._callCount += 1
      await this._callOnce(outcome, callId)
      if (outcome.doneAt === undefined) await this._pause()
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _callOnce (outcome: KeyedOutcome, callId: string): Promise<void> {
    const routers = this._routers()
    const router = routers[this._random.below(routers.length)]
    try {
      const response = await request(`http://${router}/services/payments${outcome.path}`, {
        dispatcher: this._agent,
        method: 'POST',
        headers: { 'mimosarock-workspace': 'alpha', 'idempotency-key': outcome.key, 'x-call-id': callId, 'content-type': 'application/octet-stream' },
        body: outcome.body,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      const text = await response.body.text()
      if (response.statusCode === 200) this._recordResponse(outcome, text)
      else this._recordRefusal(outcome, callId, JSON.parse(text) as Problem)
    } catch {
      // The connection broke or the call timed out, which leaves the outcome unknown; the key is retried.
    }
  }

  private _recordResponse (outcome: KeyedOutcome, text: string): void {
    outcome.doneAt = performance.now()
    const response = parse(text)
    const isCorrect = response.key === outcome.key && response.path === outcome.path && response.bytes === outcome.body.length && response.run === 1
    if (!isCorrect) outcome.hasWrongResponse = true
  }

  private _recordRefusal (outcome: KeyedOutcome, callId: string, problem: Problem): void {
    outcome.lastCode = problem.code ?? 0
    if (problem.run === 'ran') outcome.doneAt = performance.now()
    else if (problem.run === 'not-run') outcome.notRunCallIds.push(callId)
  }

  private async _pause (): Promise<void> {
    const pauseMs = MINIMUM_PAUSE_MS + this._random.below(MAXIMUM_PAUSE_MS - MINIMUM_PAUSE_MS)
    await new Promise((resolve) => setTimeout(resolve, pauseMs))
  }
}

function parse (text: string): { key?: unknown, path?: unknown, bytes?: unknown, run?: unknown } {
  try {
    return JSON.parse(text) as object
  } catch {
    return {}
  }
}
