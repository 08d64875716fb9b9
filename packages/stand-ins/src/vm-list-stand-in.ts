import type { Clock } from '@mimosarock/coordination/clock.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { VmEntry } from '@mimosarock/coordination/vm-entry.js'
import type { VmList } from '@mimosarock/coordination/vm-list.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sendJson } from './send-json.js'
import { StandInServer } from './stand-in-server.js'
import { VmListFaults } from './vm-list-faults.js'

const ASKER_HEADER = 'mimosarock-router'

/** The list as it was from a time on. */
interface Version {
  readonly at: number
  readonly entries: readonly VmEntry[]
}

/**
 * The platform's VM list in memory: usable as a VmList in the same process, and over HTTP once started. An asker
 * names itself by the query parameter `asker` or the header `Mimosarock-Router`.
 */
export class VmListStandIn implements VmList {
  /** Faults that a test or a bench switches on. */
  readonly faults = new VmListFaults()
  /** Its HTTP server. */
  readonly server = new StandInServer((request, response) => this._serve(request, response))
  private readonly _clock: Clock
  private _versions: Version[]

  /**
   * @param clock source of lag and delays; the machine's clock if left out
   */
  constructor (clock: Clock = new SystemClock()) {
    this._clock = clock
    this._versions = [{ at: -Infinity, entries: [] }]
  }

  /** Base URL once started. */
  get url (): string {
    return this.server.url
  }

  /** Serves over HTTP as well. */
  async start (): Promise<void> {
    await this.server.start()
  }

  /** Ends the HTTP server. */
  async stop (): Promise<void> {
    await this.server.stop()
  }

  /**
   * Adds a VM or replaces the one of that name.
   * @param entry the VM
   */
  set (entry: VmEntry): void {
    const others = this._newest().filter((other) => other.name !== entry.name)
    this._change([...others, entry])
  }

  /**
   * Marks a VM as leaving.
   * @param name name of the VM
   */
  markLeaving (name: string): void {
    this._change(this._newest().map((entry) => entry.name === name ? { ...entry, leaving: true } : entry))
  }

  /**
   * Takes a VM off the list.
   * @param name name of the VM
   */
  remove (name: string): void {
    this._change(this._newest().filter((entry) => entry.name !== name))
  }

  /**
   * The list as an asker without a name sees it.
   * @param signal ends the call
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  async list (signal?: AbortSignal): Promise<readonly VmEntry[]> {
    return this._listFor('', signal)
  }

  /**
   * The list as one asker sees it, usable in the same process.
   * @param asker name of the asker
   */
  viewOf (asker: string): VmList {
    return { list: (signal) => this._listFor(asker, signal) }
  }

  private async _listFor (asker: string, signal?: AbortSignal): Promise<readonly VmEntry[]> {
    if (this.faults.delayMs > 0) await this._clock.sleep(this.faults.delayMs, signal)
    if (this.faults.outage || signal?.aborted) {
      throw new MimosarockError(ResultCode.VM_LIST_UNAVAILABLE, 'VM list: switched off')
    }
    const lagMs = this.faults.lagMsByAsker.get(asker) ?? this.faults.lagMs
    const seenAt = this._clock.now() - lagMs
    const entries = this._versions.findLast((version) => version.at <= seenAt)?.entries ?? []
    const hidden = this.faults.hiddenFromAsker.get(asker)
    return hidden === undefined ? entries : entries.filter((entry) => !hidden.has(entry.name))
  }

  private _newest (): readonly VmEntry[] {
    return this._versions.at(-1)?.entries ?? []
  }

  private _change (entries: readonly VmEntry[]): void {
    this._versions.push({ at: this._clock.now(), entries })
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://vms')
    if (url.pathname !== '/v1/vms') {
      sendJson(response, 404, { error: 'unknown path' })
      return
    }
    const header = request.headers[ASKER_HEADER]
    const asker = url.searchParams.get('asker') ?? (typeof header === 'string' ? header : '')
    try {
      const entries = await this._listFor(asker)
      sendJson(response, 200, { vms: entries.map(wireEntry) })
    } catch (error) {
      sendJson(response, 503, { error: String(error) })
    }
  }
}

function wireEntry (entry: VmEntry): unknown {
  return {
    name: entry.name,
    role: entry.role,
    address: entry.address,
    availability_zone: entry.availabilityZone,
    state: entry.leaving ? 'leaving' : 'live'
  }
}
