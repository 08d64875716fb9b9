import { Agent, request } from 'undici'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { KeyedOutcome } from './keyed-outcome.js'

const CALL_TIMEOUT_MS = 3_000
const MINIMUM_PAUSE_MS = 50
const MAXIMUM_PAUSE_MS = 400

interface Told {
  readonly run?: string
  readonly code?: number
}

/** Makes keyed calls through routers chosen at random and repeats each through others until it is done. */
export class KeyedCaller {
  private readonly _routers: () => readonly string[]
  private readonly _random: SeededRandom
  private readonly _agent = new Agent({ connections: 256, headersTimeout: CALL_TIMEOUT_MS, bodyTimeout: CALL_TIMEOUT_MS, connectTimeout: 500 })
  private _calls = 0

  /**
   * @param routers addresses on which callers may be served now
   * @param random picks routers and pauses
   */
  constructor (routers: () => readonly string[], random: SeededRandom) {
    this._routers = routers
    this._random = random
  }

  /** Calls made so far. */
  get calls (): number {
    return this._calls
  }

  /**
   * Calls with one key until it is done or the signal aborts.
   * @param outcome notes what is told
   * @param signal ends the tries
   */
  async run (outcome: KeyedOutcome, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && outcome.doneAt === undefined) {
      const callId = `${outcome.key}/${outcome.calls.length}`
      outcome.calls.push(callId)
      this._calls += 1
      await this._callOnce(outcome, callId)
      if (outcome.doneAt === undefined) await this._pause()
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _callOnce (outcome: KeyedOutcome, callId: string): Promise<void> {
    const routers = this._routers()
    const router = routers[this._random.below(routers.length)]
    try {
      const answer = await request(`http://${router}/services/payments${outcome.path}`, {
        dispatcher: this._agent,
        method: 'POST',
        headers: { 'mimosarock-workspace': 'alpha', 'idempotency-key': outcome.key, 'x-call-id': callId, 'content-type': 'application/octet-stream' },
        body: outcome.body,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      const text = await answer.body.text()
      if (answer.statusCode === 200) this._noteAnswer(outcome, text)
      else this._noteRefusal(outcome, callId, JSON.parse(text) as Told)
    } catch {
      // The connection broke or the call timed out: nothing is known, the key is tried again.
      outcome.toldUnknown = true
    }
  }

  private _noteAnswer (outcome: KeyedOutcome, text: string): void {
    outcome.doneAt = performance.now()
    const answer = parse(text)
    const right = answer.key === outcome.key && answer.path === outcome.path && answer.bytes === outcome.body.length && answer.run === 1
    if (!right) outcome.wrongAnswer = true
  }

  private _noteRefusal (outcome: KeyedOutcome, callId: string, told: Told): void {
    outcome.lastCode = told.code ?? 0
    if (told.run === 'ran') outcome.doneAt = performance.now()
    else if (told.run === 'not-run') outcome.toldNotRun.push(callId)
    else outcome.toldUnknown = true
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
