import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'
import type { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'

/** What operators' access to the ledger works with. */
export interface LedgerAdministrationOptions {
  readonly partitions: Pick<LedgerPartitions, 'ledgerFor'> & { readonly partitions: ReadonlyArray<{ readonly ledger: OperationLedger }> }
  /** Gives the deadlines of routes. */
  readonly configuration: ConfigurationSource
}
