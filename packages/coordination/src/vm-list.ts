import type { VmEntry } from './vm-entry.js'

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
  /**
   * Reads the list.
   * @param signal ends the call
   * @throws {MimosarockError} VM_LIST_UNAVAILABLE
   */
  list (signal?: AbortSignal): Promise<readonly VmEntry[]>
}
