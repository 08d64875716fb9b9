import type { VmEntry } from './vm-entry.js'

/** The platform's list of live and leaving VMs, which lags behind the actual state. */
export interface VmList {
  /**
   * Fetches the list.
   * @param signal aborts the request
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  list (signal?: AbortSignal): Promise<readonly VmEntry[]>
}
