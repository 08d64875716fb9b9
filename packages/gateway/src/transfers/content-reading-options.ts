import type { AwaitedConfiguration } from '../configuration/awaited-configuration.js'
import type { OverdueReading } from '../membership/overdue-reading.js'
import type { ConfigurationTransfer } from './configuration-transfer.js'

/** What `ContentReading` decides by. */
export interface ContentReadingOptions {
  /** The version that this router lacks. */
  readonly awaited: Pick<AwaitedConfiguration, 'version' | 'isNumbered' | 'elapsedMs'>
  /** Transfers from other routers. */
  readonly transfer: Pick<ConfigurationTransfer, 'needsStore' | 'isInTime'>
  /** Whether reading is left to others while the store is unavailable. */
  readonly overdueReading: Pick<OverdueReading, 'isHeldOff'>
  /**
   * Whether another router has answered this one since a given time.
   * @param time time of the clock, in milliseconds
   */
  readonly hasHeardOthersSince: (time: number) => boolean
  /** Returns the position of this router in the reader order; 0 is the reader. */
  readonly ownRank: () => number
}
