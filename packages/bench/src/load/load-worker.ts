import { parentPort } from 'node:worker_threads'
import type { LoadOrder } from './load-order.js'
import { LoadRun } from './load-run.js'

parentPort?.on('message', (order: LoadOrder) => {
  new LoadRun(order).run().then((result) => parentPort?.postMessage(result), (error) => { throw error })
})
