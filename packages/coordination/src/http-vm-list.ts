import { Agent, request } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { countedConnector } from './counted-connector.js'
import type { TrafficCounter } from './membership/traffic-counter.js'
import type { VmEntry } from './vm-entry.js'
import type { VmList } from './vm-list.js'

/** Bound on opening a connection. */
const CONNECT_TIMEOUT_MS = 1_000
/** Bound on the whole call; callers may set a shorter one by their signal. */
const ANSWER_TIMEOUT_MS = 5_000

/** One VM as it goes over the wire. */
interface WireVm {
  readonly name: string
  readonly role: string
  readonly address: string
  readonly availability_zone: string
  readonly state: string
}

/** The platform's VM list over HTTP. */
export class HttpVmList implements VmList {
  private readonly _url: string
  private readonly _asker: string
  private readonly _agent: Agent

  /**
   * @param url base URL of the VM list
   * @param asker name of this router, sent along for the platform's own records
   * @param traffic counts what is written, as control traffic
   */
  constructor (url: string, asker = '', traffic?: TrafficCounter) {
    this._agent = new Agent({ connect: countedConnector(CONNECT_TIMEOUT_MS, traffic) })
    this._url = url.replace(/\/$/, '')
    this._asker = asker
  }

  /**
   * Reads the list.
   * @param signal ends the call
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  async list (signal?: AbortSignal): Promise<readonly VmEntry[]> {
    const timeout = AbortSignal.timeout(ANSWER_TIMEOUT_MS)
    try {
      const answer = await request(`${this._url}/v1/vms`, {
        dispatcher: this._agent,
        headers: this._asker === '' ? {} : { 'mimosarock-router': this._asker },
        signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout])
      })
      const text = await answer.body.text()
      if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`)
      return (JSON.parse(text) as { vms: WireVm[] }).vms.map(vmEntry)
    } catch (error) {
      throw new MimosarockError(ResultCode.VM_LIST_UNAVAILABLE, `VM list: ${String(error)}`, { cause: error })
    }
  }

  /** Closes every connection. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function vmEntry (vm: WireVm): VmEntry {
  return {
    name: vm.name,
    role: vm.role,
    address: vm.address,
    availabilityZone: vm.availability_zone,
    leaving: vm.state === 'leaving'
  }
}
