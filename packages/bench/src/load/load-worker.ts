import { parentPort } from 'node:worker_threads'
import type { LoadOptions } from './load-options.js'
import { LoadRun } from './load-run.js'

parentPort?.on('message', (options: LoadOptions) => {
  new LoadRun(options).run().then((result) => parentPort?.postMessage(result), (error) => { throw error })
})
