import type { Clock } from '@mimosarock/coordination/clock.js'
import type { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { LedgerPartitions } from '@mimosarock/coordination/ledger/ledger-partitions.js'
import type { LedgerWriters } from '@mimosarock/coordination/ledger/ledger-writers.js'
import type { StatusCall } from './status-call.js'

/** Options of `StatusSettler`. */
export interface StatusSettlerOptions {
  readonly partitions: LedgerPartitions
  /** Writers of the ledger partitions; the first writer of a partition settles its operations. */
  readonly writers: LedgerWriters
  readonly configuration: ConfigurationSource
  readonly statusCall: StatusCall
  readonly auditTrail: Pick<AuditTrail, 'record'>
  readonly clock: Clock
  readonly eventLog: EventLog
  /** Id of this router, recorded as the actor of its settlements. */
  readonly routerId: string
}
