import type { ConfigurationUpdate } from './configuration-update.js'

/** Requests a change of the configuration from the router at an address. */
export type TransferCall = (address: string, fromVersion: number) => Promise<ConfigurationUpdate>
