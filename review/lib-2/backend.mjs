import { createServer } from 'node:http'
import { once } from 'node:events'

const HEARTBEAT_MS = 1_200
/** Intervals of silence after which the store removes the entry of a server. */
const SILENT_INTERVALS = 3
const MISDIRECTED = 421

/** Stand-in of a server of the platform: registers in the store, checks for whom a request is, and counts what it runs. */
export class Backend {
  #sequence = 0
  #born = Date.now()
  /** Ids of the requests that were run, in order; an id is there as often as its request was run. */
  runs = []

  /**
   * @param id id of the server
   * @param service name of its service
   * @param zone its zone
   * @param run runs a request: receives it with its body, and the response, whose head has the id of the attempt and the signature
   */
  constructor ({ id, service, zone, slots = 6, run }) {
    Object.assign(this, { id, service, zone, slots, run })
  }

  /** Starts to listen, and registers in the store until stopped. */
  async start (host, store) {
    this.store = store
    this.server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => this.#handle(request, response).catch(() => response.destroy()))
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
    this.#register()
    this.timer = setInterval(() => this.#register(), HEARTBEAT_MS)
  }

  /** Stops the server and its connections. */
  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Ends the server without notice; the store removes its entry after three heartbeat intervals. */
  crash () {
    this.stop()
    setTimeout(() => this.store.putServer(this.id, undefined), SILENT_INTERVALS * HEARTBEAT_MS).unref()
  }

  #register () {
    this.#sequence += 1
    this.store.putServer(this.id, {
      service: this.service, address: this.address, zone: this.zone, version: 1, batchSize: this.slots, state: 'ready', warmupLeftMs: 0, sequence: this.#sequence, born: this.#born
    })
  }

  async #handle (request, response) {
    const attempt = request.headers['attempt-id']
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(MISDIRECTED, { 'attempt-id': attempt, 'not-executed': '1' }).end()
      return
    }
    this.runs.push(attempt)
    response.setHeader('attempt-id', attempt)
    response.setHeader('instance-signature', `${this.id}.${this.runs.length}`)
    await this.run(request, response, Buffer.concat(chunks))
  }
}
