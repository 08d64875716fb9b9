import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { PromptPart } from '../model/prompt-part.js'
import type { CrashDetectorOptions } from './crash-detector-options.js'

/** Calls that an endpoint has lost, until it is known whether it has crashed. */
interface PendingCheck {
  readonly endpoint: EndpointEntry
  readonly prompts: (readonly PromptPart[])[]
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
   * Checks an endpoint that has lost the connection of a call before it began to answer. Calls that are lost during the check
   * are reported together.
   * @param endpoint the endpoint
   * @param prompt parts of the prompt of the call
   */
  connectionLost (endpoint: EndpointEntry, prompt: readonly PromptPart[]): void {
    const pending = this._pending.get(endpoint.id)
    if (pending !== undefined) {
      pending.prompts.push(prompt)
      return
    }
    const check = { endpoint, prompts: [prompt] }
    this._pending.set(endpoint.id, check)
    this._run(check).catch(() => undefined)
  }

  private async _run ({ endpoint, prompts }: PendingCheck): Promise<void> {
    const isRefusing = await this._options.refusesConnections(endpoint.address)
    this._pending.delete(endpoint.id)
    if (isRefusing) this._options.onCrash(endpoint, prompts)
  }
}
