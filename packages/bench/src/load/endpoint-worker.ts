import { parentPort, workerData } from 'node:worker_threads'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import { StandInServer } from '@mimosarock/stand-ins/stand-in-server.js'
import type { EndpointOrder } from './endpoint-order.js'
import { instantHandler } from './instant-handler.js'

const order = workerData as EndpointOrder
const endpoint = order.kind === 'instant' ? new StandInServer(instantHandler) : new ModelEngineStandIn(order.options)
await endpoint.start()
parentPort?.postMessage(endpoint.address)
