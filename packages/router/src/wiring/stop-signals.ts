import type { EventEmitter } from 'node:events'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { StoppableRouter } from './stoppable-router.js'

const SIGNALS = ['SIGTERM', 'SIGINT'] as const
const CUT_OFF_EXIT_CODE = 1

/** Ends a router by signals: the first stops it gracefully, the second ends it at once. */
export class StopSignals {
  private readonly _source: EventEmitter
  private readonly _eventLog: EventLog

  /**
   * @param source emits the signals; the process outside of tests
   * @param eventLog takes what happened
   */
  constructor (source: EventEmitter, eventLog: EventLog) {
    this._source = source
    this._eventLog = eventLog
  }

  /**
   * Waits for signals and ends the router.
   * @param router the started router
   * @returns exit code: 0 after a graceful stop, 1 if a second signal cut it short
   */
  async run (router: StoppableRouter): Promise<number> {
    return await new Promise<number>((resolve, reject) => {
      let signals = 0
      const finish = (code: number): void => {
        for (const signal of SIGNALS) this._source.off(signal, handle)
        resolve(code)
      }
      const handle = (signal: string): void => {
        signals += 1
        this._eventLog.info('signal-received', { signal, count: signals })
        if (signals === 1) router.stop().then(() => finish(0), reject)
        else if (signals === 2) router.kill().then(() => finish(CUT_OFF_EXIT_CODE), reject)
      }
      for (const signal of SIGNALS) this._source.on(signal, handle)
    })
  }
}
