import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { CrashDetectorOptions } from './crash-detector-options.js'
import type { LostCall } from './lost-call.js'

/** Calls that an endpoint has lost, until it is known whether it has crashed. */
interface PendingCheck {
  readonly calls: LostCall[]
  readonly hasCrashed: Promise<boolean>
}

/**
 * Tells the crash of an endpoint from the loss of single connections: an endpoint that has crashed refuses new ones. A failing network, an
 * endpoint that closes connections at its limit and one that fails a part of its requests do not.
 */
export class CrashDetector {
  private readonly _options: CrashDetectorOptions
  private readonly _pending = new Map<string, PendingCheck>()

  /**
   * @param options check of an endpoint, and what to do after a crash
   */
  constructor (options: CrashDetectorOptions) {
    this._options = options
  }

  /**
   * Checks an endpoint that has lost the connection of a call. Calls that are lost during the check are reported together.
   * @param endpoint the endpoint
   * @param call the call
   * @returns whether the endpoint has crashed
   */
  connectionLost (endpoint: EndpointEntry, call: LostCall): Promise<boolean> {
    const pending = this._pending.get(endpoint.id)
    if (pending !== undefined) {
      pending.calls.push(call)
      return pending.hasCrashed
    }
    const calls = [call]
    const hasCrashed = this._check(endpoint, calls)
    this._pending.set(endpoint.id, { calls, hasCrashed })
    return hasCrashed
  }

  private async _check (endpoint: EndpointEntry, calls: readonly LostCall[]): Promise<boolean> {
    const isRefusing = await this._options.refusesConnections(endpoint.address)
    this._pending.delete(endpoint.id)
    if (isRefusing) this._options.onCrash(endpoint, calls)
    return isRefusing
  }
}
