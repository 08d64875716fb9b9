import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { listen } from './listen.mjs'
import { readAll } from './read-all.mjs'

const MISDIRECTED = 421

/** Stand-in of a sound server of a plain service. */
export class ServiceServer {
  _sequence = 0
  _server = createServer((request, response) => {
    this._handle(request, response).catch(() => response.destroy())
  })

  state = 'ready'

  /**
   * @param options id, service, zone, number of slots, time of the work in milliseconds, and what is called with each request that runs
   */
  constructor ({ id, service, zone, slots, workMs, onRun }) {
    Object.assign(this, { id, service, zone, slots, workMs, onRun })
    this._born = Date.now()
  }

  async start () {
    this.port = await listen(this._server)
  }

  stop () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Returns the next entry in the list of servers. */
  nextEntry () {
    this._sequence += 1
    return JSON.stringify({
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 1,
      batchSize: this.slots,
      state: this.state,
      warmupLeftMs: 0,
      sequence: this._sequence,
      born: this._born
    })
  }

  async _handle (request, response) {
    const id = String(request.headers['attempt-id'])
    await readAll(request)
    if (request.headers['expect-instance'] !== this.id) {
      response.writeHead(MISDIRECTED, { 'attempt-id': id, 'not-executed': '1' }).end()
      return
    }
    this.onRun(this, id)
    await sleep(this.workMs)
    response.writeHead(200, { 'attempt-id': id, 'instance-signature': `${this.id}.${id}` }).end(`done ${id}`)
  }
}
