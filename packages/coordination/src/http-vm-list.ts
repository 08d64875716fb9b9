import { Agent, request } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { countedConnector } from './counted-connector.js'
import { readBoundedBody } from './http/read-bounded-body.js'
import type { TrafficCounter } from './membership/traffic-counter.js'
import type { VmEntry } from './vm-entry.js'
import type { VmList } from './vm-list.js'

const CONNECT_TIMEOUT_MS = 1_000
/** Timeout of the whole request; callers can set a shorter one with their signal. */
const RESPONSE_TIMEOUT_MS = 5_000
/** Maximum length of the list, in bytes. */
const MAXIMUM_LIST_BYTES = 67_108_864

/** One VM in the JSON body of the response. */
interface WireVm {
  readonly name: string
  readonly role: string
  readonly address: string
  readonly availability_zone: string
  readonly state: string
}

/** HTTP client for the platform's VM list. */
export class HttpVmList implements VmList {
  private readonly _url: string
  private readonly _routerName: string
  private readonly _agent: Agent

  /**
   * @param url base URL of the VM list
   * @param routerName name of this router, sent in a header for the platform's logs; empty to send none
   * @param traffic counts the bytes written, as control traffic
   */
  constructor (url: string, routerName = '', traffic?: TrafficCounter) {
    this._agent = new Agent({ connect: countedConnector(CONNECT_TIMEOUT_MS, traffic) })
    this._url = url.replace(/\/$/, '')
    this._routerName = routerName
  }

  /**
   * Fetches the list.
   * @param signal aborts the request
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  async list (signal?: AbortSignal): Promise<readonly VmEntry[]> {
    const timeout = AbortSignal.timeout(RESPONSE_TIMEOUT_MS)
    try {
      const response = await request(`${this._url}/v1/vms`, {
        dispatcher: this._agent,
        headers: this._routerName === '' ? {} : { 'mimosarock-router': this._routerName },
        signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout])
      })
      const text = (await readBoundedBody(response.body, MAXIMUM_LIST_BYTES)).toString()
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
      return (JSON.parse(text) as { vms: WireVm[] }).vms.map(toVmEntry)
    } catch (error) {
      throw new MimosarockError(ResultCode.VM_LIST_UNAVAILABLE, `VM list: ${String(error)}`, { cause: error })
    }
  }

  /** Closes all connections and fails the requests in flight. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

function toVmEntry (vm: WireVm): VmEntry {
  return {
    name: vm.name,
    role: vm.role,
    address: vm.address,
    availabilityZone: vm.availability_zone,
    leaving: vm.state === 'leaving'
  }
}
