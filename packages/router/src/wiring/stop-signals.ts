import type { EventEmitter } from 'node:events'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { StoppableRouter } from './stoppable-router.js'

const SIGNALS = ['SIGTERM', 'SIGINT'] as const
const FORCED_STOP_EXIT_CODE = 1

/** Stops a router on process signals: gracefully on the first signal, immediately on the second. */
export class StopSignals {
  private readonly _source: EventEmitter
  private readonly _eventLog: EventLog

  /**
   * @param source emitter of the signals; `process` except in tests
   * @param eventLog receives an event for each signal
   */
  constructor (source: EventEmitter, eventLog: EventLog) {
    this._source = source
    this._eventLog = eventLog
  }

  /**
   * Waits for a signal and resolves when the router has stopped.
   * @param router the router to stop
   * @returns exit code: 0 after a graceful stop, 1 after a second signal
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
        else if (signals === 2) router.kill().then(() => finish(FORCED_STOP_EXIT_CODE), reject)
      }
      for (const signal of SIGNALS) this._source.on(signal, handle)
    })
  }
}
