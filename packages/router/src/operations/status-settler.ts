import { create } from '@bufbuild/protobuf'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'
import type { Actor, OperationRecord, Pool, Route } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { maximumRunTimeMs } from './maximum-run-time.js'
import type { StatusSettlerOptions } from './status-settler-options.js'

/** Pause between two passes over the operations that are in progress or in doubt. */
const PASS_INTERVAL_MS = 500
/** Maximum number of operations checked in one pass, the least recently changed first. */
const OPERATIONS_PER_PASS = 64
const STATUS_TIMEOUT_MS = 1_000
/** Placeholder for the key in a route's status path. */
const KEY_PLACEHOLDER = '{key}'

/**
 * Settles operations on routes that declare a status call: those in doubt, and those in progress whose winning attempt
 * has not recorded an outcome within the maximum run time of the call.
 *
 * An operation is settled as run if at least one endpoint reports a run. It is settled as not run only if every endpoint
 * of the pool reports no run and the longest pause has passed, since a paused router might still send the call.
 */
export class StatusSettler {
  private readonly _options: StatusSettlerOptions
  private readonly _actor: Actor

  /**
   * @param options ledger, status call, audit trail and other dependencies
   */
  constructor (options: StatusSettlerOptions) {
    this._options = options
    this._actor = create(ActorSchema, { name: `router/${options.routerId}` })
  }

  /**
   * Settles operations periodically until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._options.clock.sleep(PASS_INTERVAL_MS, signal)
      for (const [partition, { ledger }] of this._options.partitions.partitions.entries()) {
        if (this._isSettlerOf(partition)) await this._settleOpenOperations(ledger, signal)
      }
    }
  }

  private _isSettlerOf (partition: number): boolean {
    const first = this._options.writers.first(partition, 1)[0]
    return first !== undefined && this._options.writers.isSelf(first)
  }

  private async _settleOpenOperations (ledger: OperationLedger, signal: AbortSignal): Promise<void> {
    const openOperations = ledger.list('', OperationState.UNSPECIFIED, OPERATIONS_PER_PASS)
    await Promise.all(openOperations.map(async (operation) => {
      if (!signal.aborted) await this._settleIfDue(ledger, operation)
    }))
  }

  private async _settleIfDue (ledger: OperationLedger, operation: OperationRecord): Promise<void> {
    const index = this._options.configuration.current()
    const route = index?.routes.get(operation.route)
    const pool = route === undefined ? undefined : index?.pools.get(route.pool)
    if (route === undefined || pool === undefined || route.statusPath === '') return
    if (!this._isDue(ledger, operation)) return
    try {
      await this._settleByStatusCalls(ledger, operation, route, pool)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      this._options.eventLog.info('operation-not-settled', { workspace: operation.workspace, key: operation.key, code: error.code })
    }
  }

  /** Returns whether an operation is in doubt, or has been in progress for longer than its call may run. */
  private _isDue (ledger: OperationLedger, operation: OperationRecord): boolean {
    if (operation.state === OperationState.IN_DOUBT) return true
    return ledger.openForMs(operation) >= maximumRunTimeMs(this._options.configuration, operation.route)
  }

  private async _settleByStatusCalls (ledger: OperationLedger, operation: OperationRecord, route: Route, pool: Pool): Promise<void> {
    const path = route.statusPath.replace(KEY_PLACEHOLDER, encodeURIComponent(operation.key))
    const runTimeMs = maximumRunTimeMs(this._options.configuration, operation.route)
    // Computed before the status calls: the endpoints must respond after the last time at which the call could be sent.
    const maySettleAsNotRun = ledger.notRunSettlementDelayMs(operation, runTimeMs) <= 0
    const results = await Promise.allSettled(pool.endpoints.map(async (endpoint) =>
      await this._options.statusCall.readRunCount(endpoint.address, path, STATUS_TIMEOUT_MS)))
    const ran = results.some((result) => result.status === 'fulfilled' && result.value > 0)
    const allSucceeded = results.length > 0 && results.every((result) => result.status === 'fulfilled')
    if (ran) await this._settle(ledger, operation, OperationState.ANSWERED, 'an endpoint knows of its run', runTimeMs)
    else if (allSucceeded && maySettleAsNotRun) await this._settle(ledger, operation, OperationState.NOT_RUN, 'no endpoint knows of a run', runTimeMs)
  }

  private async _settle (ledger: OperationLedger, operation: OperationRecord, state: OperationState, reason: string, runTimeMs: number): Promise<void> {
    await ledger.settle(operation, state, this._actor, reason, runTimeMs)
    this._options.auditTrail.record({
      actor: this._actor,
      action: 'operation.settle',
      subject: `operation/${operation.key}`,
      before: OperationState[operation.state],
      after: `${OperationState[state]} ${reason}`,
      code: ResultCode.OK,
      workspace: operation.workspace
    })
  }
}
