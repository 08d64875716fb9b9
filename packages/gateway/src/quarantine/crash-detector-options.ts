import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { LostCall } from './lost-call.js'

/** Options of a {@link CrashDetector}. */
export interface CrashDetectorOptions {
  /**
   * Returns whether nothing listens at an address; never rejects.
   * @param address address, host:port
   */
  readonly refusesConnections: (address: string) => Promise<boolean>
  /**
   * Called after a crash.
   * @param endpoint the endpoint
   * @param calls calls that it has lost
   */
  readonly onCrash: (endpoint: EndpointEntry, calls: readonly LostCall[]) => void
}
