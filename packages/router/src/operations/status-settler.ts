import { create } from '@bufbuild/protobuf'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'
import type { Actor, OperationRecord, Pool, Route } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { runBoundMs } from './run-bound.js'
import type { StatusSettlerOptions } from './status-settler-options.js'

/** Pause between two passes over the open operations. */
const PASS_INTERVAL_MS = 500
/** Operations looked at in one pass, those that are open for longest first. */
const OPERATIONS_PER_PASS = 64
const STATUS_TIMEOUT_MS = 1_000
/** Stands for the key in a route's status path. */
const KEY_PLACE = '{key}'

/**
 * Settles operations in doubt on routes that declare a status call, and operations whose winner has not
 * recorded an outcome within the time that the call may take.
 *
 * One endpoint that knows of a run proves that the operation ran. That it did not run takes the word of every
 * endpoint of the pool, and the longest pause must have passed, since a paused router might still send it.
 */
export class StatusSettler {
  private readonly _options: StatusSettlerOptions
  private readonly _actor: Actor

  /**
   * @param options what the settler works with
   */
  constructor (options: StatusSettlerOptions) {
    this._options = options
    this._actor = create(ActorSchema, { name: `router/${options.routerId}` })
  }

  /**
   * Settles until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._options.clock.sleep(PASS_INTERVAL_MS, signal)
      for (const [partition, { ledger }] of this._options.partitions.partitions.entries()) {
        if (this._isSettlerOf(partition)) await this._pass(ledger, signal)
      }
    }
  }

  private _isSettlerOf (partition: number): boolean {
    const first = this._options.writers.first(partition, 1)[0]
    return first !== undefined && this._options.writers.isSelf(first)
  }

  private async _pass (ledger: OperationLedger, signal: AbortSignal): Promise<void> {
    const open = ledger.list('', OperationState.UNSPECIFIED, OPERATIONS_PER_PASS)
    await Promise.all(open.map(async (operation) => {
      if (!signal.aborted) await this._settleIfKnown(ledger, operation)
    }))
  }

  private async _settleIfKnown (ledger: OperationLedger, operation: OperationRecord): Promise<void> {
    const index = this._options.configuration.current()
    const route = index?.routes.get(operation.route)
    const pool = route === undefined ? undefined : index?.pools.get(route.pool)
    if (route === undefined || pool === undefined || route.statusPath === '') return
    if (!this._isDue(ledger, operation)) return
    try {
      await this._ask(ledger, operation, route, pool)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      this._options.eventLog.info('operation-not-settled', { workspace: operation.workspace, key: operation.key, code: error.code })
    }
  }

  /** The winner of an operation in progress still has its time to answer. */
  private _isDue (ledger: OperationLedger, operation: OperationRecord): boolean {
    if (operation.state === OperationState.IN_DOUBT) return true
    return ledger.openForMs(operation) >= runBoundMs(this._options.configuration, operation.route)
  }

  private async _ask (ledger: OperationLedger, operation: OperationRecord, route: Route, pool: Pool): Promise<void> {
    const path = route.statusPath.replace(KEY_PLACE, encodeURIComponent(operation.key))
    const boundMs = runBoundMs(this._options.configuration, operation.route)
    // Taken before the question: the endpoints' answers are to be younger than the last possible write.
    const mayBeNotRun = ledger.notRunSettlementDelayMs(operation, boundMs) <= 0
    const answers = await Promise.allSettled(pool.endpoints.map(async (endpoint) =>
      await this._options.statusCall.runsAt(endpoint.address, path, STATUS_TIMEOUT_MS)))
    const ran = answers.some((answer) => answer.status === 'fulfilled' && answer.value > 0)
    const allAnswered = answers.length > 0 && answers.every((answer) => answer.status === 'fulfilled')
    if (ran) await this._settle(ledger, operation, OperationState.ANSWERED, 'an endpoint knows of its run', boundMs)
    else if (allAnswered && mayBeNotRun) await this._settle(ledger, operation, OperationState.NOT_RUN, 'no endpoint knows of a run', boundMs)
  }

  private async _settle (ledger: OperationLedger, operation: OperationRecord, state: OperationState, reason: string, boundMs: number): Promise<void> {
    await ledger.settle(operation, state, this._actor, reason, boundMs)
    this._options.auditTrail.note({
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
