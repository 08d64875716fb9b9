import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'
import type { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'

/** Options of `LedgerAdministration`. */
export interface LedgerAdministrationOptions {
  readonly partitions: Pick<LedgerPartitions, 'ledgerFor'> & { readonly partitions: ReadonlyArray<{ readonly ledger: OperationLedger }> }
  /** Configuration with the deadlines of the routes. */
  readonly configuration: ConfigurationSource
}
