import { parentPort, workerData } from 'node:worker_threads'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import { StandInServer } from '@mimosarock/stand-ins/stand-in-server.js'
import type { EndpointOptions } from './endpoint-options.js'
import { instantHandler } from './instant-handler.js'

const options = workerData as EndpointOptions
const endpoint = options.kind === 'instant' ? new StandInServer(instantHandler) : new ModelEngineStandIn(options.options)
await endpoint.start()
parentPort?.postMessage(endpoint.address)
