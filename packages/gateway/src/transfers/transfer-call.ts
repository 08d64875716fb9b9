import type { ConfigurationUpdate } from './configuration-update.js'
import type { TransferAttempt } from './transfer-attempt.js'

/** Requests a change of the configuration from the router at an address, as an attempt that can be aborted and is told of the progress. */
export type TransferCall = (address: string, fromVersion: number, attempt: Pick<TransferAttempt, 'signal' | 'recordProgress'>) => Promise<ConfigurationUpdate>
