import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import type { DescMessage, MessageInitShape } from '@bufbuild/protobuf'
import type {
  CompareRevisionsRequest, CompareRevisionsResponseSchema, Configuration, GetConfigurationRequest, GetConfigurationResponseSchema,
  GetFleetResponseSchema, GetOperationRequest, GetOperationResponseSchema, ListAuditRequest, ListAuditResponseSchema,
  ListOperationsRequest, ListOperationsResponseSchema, ListRevisionsRequest, ListRevisionsResponseSchema,
  QueryService as QueryServiceDescription, WaitForRevisionRequest, WaitForRevisionResponseSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { compareConfigurations } from '@mimosarock/coordination/configuration/compare-configurations.js'
import type { QueryServiceOptions } from './query-service-options.js'
import { toConnectError } from './to-connect-error.js'

/** Maximum number of items in a response if the request sets no limit. */
const DEFAULT_LIMIT = 100
/** Interval for polling the revisions that the routers report, in milliseconds. */
const REVISION_POLL_MS = 50
const MAXIMUM_WAIT_MS = 600_000
/** Staleness reported before the configuration has been proved current for the first time. */
const UNKNOWN_STALENESS_MS = Number.MAX_SAFE_INTEGER

type Response<Schema extends DescMessage> = MessageInitShape<Schema>

/** Implements the operators' query service from the local state of this router. */
export class QueryService implements ServiceImpl<typeof QueryServiceDescription> {
  private readonly _options: QueryServiceOptions

  /**
   * @param options configuration, fleet status, operations and the clock
   */
  constructor (options: QueryServiceOptions) {
    this._options = options
  }

  /**
   * Returns the configuration at a revision and the staleness of this router's configuration.
   * @param request the revision; 0 selects the newest
   */
  getConfiguration (request: GetConfigurationRequest): Response<typeof GetConfigurationResponseSchema> {
    const { fold, stalenessMs } = this._options.configuration
    const revision = request.revision === 0n ? fold.index.revision : Number(request.revision)
    const summary = fold.revisions.find((candidate) => Number(candidate.revision) === revision)
    return {
      revision: BigInt(revision),
      offset: summary?.offset ?? BigInt(revision === fold.index.revision ? fold.index.offset : 0),
      configuration: this._configurationAt(revision),
      stalenessMs: BigInt(Number.isFinite(stalenessMs) ? Math.round(stalenessMs) : UNKNOWN_STALENESS_MS)
    }
  }

  /**
   * Lists the revisions in the history, newest first.
   * @param request maximum number of revisions
   */
  listRevisions (request: ListRevisionsRequest): Response<typeof ListRevisionsResponseSchema> {
    const revisions = this._options.configuration.fold.revisions.slice(0, request.limit || DEFAULT_LIMIT)
    return { revisions: revisions.map((summary) => ({ ...summary, undo: [] })) }
  }

  /**
   * Lists the configuration entries that differ between two revisions.
   * @param request the two revisions; 0 as the second selects the newest
   */
  compareRevisions (request: CompareRevisionsRequest): Response<typeof CompareRevisionsResponseSchema> {
    const newest = this._options.configuration.fold.index.revision
    const from = this._configurationAt(Number(request.fromRevision))
    const to = this._configurationAt(Number(request.toRevision) || newest)
    return { differences: compareConfigurations(from, to).map(({ subject, before, after }) => ({ subject, before, after })) }
  }

  /**
   * Waits until every live router reports the revision or a later one, or the timeout expires.
   * @param request the revision and the timeout in milliseconds
   * @param context its signal ends the wait when the client disconnects
   */
  async waitForRevision (request: WaitForRevisionRequest, context: HandlerContext): Promise<Response<typeof WaitForRevisionResponseSchema>> {
    const { clock, fleetStatus } = this._options
    const deadline = clock.now() + Math.min(request.timeoutMs, MAXIMUM_WAIT_MS)
    const isInForce = (): boolean => fleetStatus.routers().every((router) => router.revision >= request.revision)
    while (!isInForce() && clock.now() < deadline && !context.signal.aborted) {
      await clock.sleep(REVISION_POLL_MS, context.signal)
    }
    return { inForceEverywhere: isInForce(), routers: [...fleetStatus.routers()] }
  }

  /**
   * Lists audit entries, newest first.
   * @param request filter; empty fields match every entry
   */
  listAudit (request: ListAuditRequest): Response<typeof ListAuditResponseSchema> {
    const entries = this._options.configuration.fold.findAudit({
      ...(request.workspace !== '' && { workspace: request.workspace }),
      ...(request.actor !== '' && { actor: request.actor }),
      ...(request.fromMs !== 0n && { fromMs: Number(request.fromMs) }),
      ...(request.untilMs !== 0n && { untilMs: Number(request.untilMs) }),
      limit: request.limit || DEFAULT_LIMIT
    })
    return { entries: [...entries] }
  }

  /**
   * Lists operations, newest first.
   * @param request workspace, state and maximum number of operations
   */
  listOperations (request: ListOperationsRequest): Response<typeof ListOperationsResponseSchema> {
    return { operations: [...this._options.operations.list(request.workspace, request.state, request.limit || DEFAULT_LIMIT)] }
  }

  /**
   * Returns an operation.
   * @param request workspace and key of the operation
   * @throws {ConnectError} with the result code OPERATION_UNKNOWN
   */
  getOperation (request: GetOperationRequest): Response<typeof GetOperationResponseSchema> {
    const operation = this._options.operations.get(request.workspace, request.key)
    if (operation === undefined) {
      throw toConnectError(new MimosarockError(ResultCode.OPERATION_UNKNOWN, `workspace ${request.workspace} has no operation ${request.key}`))
    }
    return { operation }
  }

  /** Returns the routers and endpoints known to this router. */
  getFleet (): Response<typeof GetFleetResponseSchema> {
    const { fleetStatus } = this._options
    return { routers: [...fleetStatus.routers()], endpoints: [...fleetStatus.endpoints()] }
  }

  private _configurationAt (revision: number): Configuration {
    const { configuration } = this._options
    if (!configuration.proven) {
      throw toConnectError(new MimosarockError(ResultCode.CONFIGURATION_NOT_LOADED, 'this router has no configuration that has been proved current'))
    }
    const found = configuration.fold.configurationAt(revision)
    if (found !== undefined) return found
    throw toConnectError(new MimosarockError(ResultCode.REVISION_UNKNOWN, `revision ${revision} is unknown or no longer kept`))
  }
}
