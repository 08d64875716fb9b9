import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { Exchange } from './exchange.js'
import type { ExchangeHandler } from './exchange-handler.js'
import { findWorkspace } from './find-workspace.js'
import { requireConfiguration } from './require-configuration.js'

const MODELS_PATH = '/v1/models'

/** Handles `GET /v1/models` and `GET /v1/models/{model}` from the configuration. */
export class ModelsHandler implements ExchangeHandler {
  private readonly _configuration: ConfigurationSource

  /**
   * @param configuration source of the current configuration
   */
  constructor (configuration: ConfigurationSource) {
    this._configuration = configuration
  }

  /**
   * Responds with the models that the workspace may use, or with the one named in the path.
   * @param exchange the request and its response
   * @throws {MimosarockError} sent to the caller as an error response
   */
  async handle (exchange: Exchange): Promise<void> {
    const index = requireConfiguration(this._configuration)
    const workspace = findWorkspace(exchange.request, index)
    const allowed = [...index.routesByModel.keys()].filter((model) => workspace.models.length === 0 || workspace.models.includes(model))
    const models = allowed.sort().map((id) => ({ id, object: 'model', created: 0, owned_by: 'mimosarock' }))
    const path = (exchange.request.url ?? '').split('?', 1)[0] ?? ''
    const wanted = decodeModel(path.slice(MODELS_PATH.length + 1))
    const body = wanted === '' ? { object: 'list', data: models } : models.find((model) => model.id === wanted)
    if (body === undefined) throw new MimosarockError(ResultCode.MODEL_UNKNOWN, `there is no model ${wanted}`, { field: 'model' })
    exchange.response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': exchange.requestId })
    exchange.response.end(JSON.stringify(body))
  }
}

// A name that is not encoded validly is taken as it is; no model has it.
function decodeModel (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    return text
  }
}
