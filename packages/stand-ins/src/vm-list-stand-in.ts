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

const CLIENT_HEADER = 'mimosarock-router'

/** State of the list from a point in time until the next version. */
interface Version {
  readonly validFrom: number
  readonly entries: readonly VmEntry[]
}

/**
 * In-memory implementation of the platform's VM list, for use as a `VmList` in the same process and, once started, over
 * HTTP. HTTP clients state their name in the query parameter `asker` or the header `Mimosarock-Router`.
 */
export class VmListStandIn implements VmList {
  /** Faults to inject; none are active at first. */
  readonly faults = new VmListFaults()
  /** HTTP server, for its address and connection faults. */
  readonly server = new StandInServer((request, response) => this._serve(request, response))
  private readonly _clock: Clock
  private _versions: Version[]

  /**
   * @param clock measures lag and delays; the system clock by default
   */
  constructor (clock: Clock = new SystemClock()) {
    this._clock = clock
    this._versions = [{ validFrom: -Infinity, entries: [] }]
  }

  /** Base URL of the HTTP server; valid once started. */
  get url (): string {
    return this.server.url
  }

  /** Starts the HTTP server. */
  async start (): Promise<void> {
    await this.server.start()
  }

  /** Stops the HTTP server and closes its connections. */
  async stop (): Promise<void> {
    await this.server.stop()
  }

  /**
   * Adds a VM, or replaces the VM of the same name.
   * @param entry entry of the VM
   */
  set (entry: VmEntry): void {
    const others = this._currentEntries().filter((other) => other.name !== entry.name)
    this._addVersion([...others, entry])
  }

  /**
   * Marks a VM as leaving.
   * @param name name of the VM
   */
  markLeaving (name: string): void {
    this._addVersion(this._currentEntries().map((entry) => entry.name === name ? { ...entry, leaving: true } : entry))
  }

  /**
   * Removes a VM from the list.
   * @param name name of the VM
   */
  remove (name: string): void {
    this._addVersion(this._currentEntries().filter((entry) => entry.name !== name))
  }

  /**
   * Returns the list as seen by a client without a name.
   * @param signal aborts the call
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  async list (signal?: AbortSignal): Promise<readonly VmEntry[]> {
    return this._listFor('', signal)
  }

  /**
   * Returns a `VmList` for use in the same process that reads the list as seen by one client.
   * @param client name of the client
   */
  viewOf (client: string): VmList {
    return { list: (signal) => this._listFor(client, signal) }
  }

  private async _listFor (client: string, signal?: AbortSignal): Promise<readonly VmEntry[]> {
    if (this.faults.delayMs > 0) await this._clock.sleep(this.faults.delayMs, signal)
    if (this.faults.outage || signal?.aborted) {
      throw new MimosarockError(ResultCode.VM_LIST_UNAVAILABLE, 'VM list: unavailable')
    }
    const lagMs = this.faults.lagMsByClient.get(client) ?? this.faults.lagMs
    const visibleUntil = this._clock.now() - lagMs
    const entries = this._versions.findLast((version) => version.validFrom <= visibleUntil)?.entries ?? []
    const hidden = this.faults.hiddenFromClient.get(client)
    return hidden === undefined ? entries : entries.filter((entry) => !hidden.has(entry.name))
  }

  private _currentEntries (): readonly VmEntry[] {
    return this._versions.at(-1)?.entries ?? []
  }

  private _addVersion (entries: readonly VmEntry[]): void {
    this._versions.push({ validFrom: this._clock.now(), entries })
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://vms')
    if (url.pathname !== '/v1/vms') {
      sendJson(response, 404, { error: 'unknown path' })
      return
    }
    const header = request.headers[CLIENT_HEADER]
    const client = url.searchParams.get('asker') ?? (typeof header === 'string' ? header : '')
    try {
      const entries = await this._listFor(client)
      sendJson(response, 200, { vms: entries.map(toWireEntry) })
    } catch (error) {
      sendJson(response, 503, { error: String(error) })
    }
  }
}

function toWireEntry (entry: VmEntry): unknown {
  return {
    name: entry.name,
    role: entry.role,
    address: entry.address,
    availability_zone: entry.availabilityZone,
    state: entry.leaving ? 'leaving' : 'live'
  }
}
