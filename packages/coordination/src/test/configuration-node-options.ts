import type { LogService } from '../log-service.js'
import type { ConfigurationNode } from './configuration-node.js'
import type { LocalNetwork } from './local-network.js'

/** Options of a test node. */
export interface ConfigurationNodeOptions {
  readonly id: string
  readonly logService: LogService
  readonly network: LocalNetwork
  /** Live nodes; the new node adds itself. */
  readonly fleet: ConfigurationNode[]
  readonly retentionMs?: number
  readonly maximumPartBytes?: number
  readonly maximumRecords?: number
}
