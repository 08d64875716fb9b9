// Stand-in of a server of the platform: registers in the store, runs requests and answers them as PROTOCOL.md describes.
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200

export class Server {
  /**
   * @param options id, service and zone of the server, the store, and `work(request, run)`, which answers a request that runs
   */
  constructor ({ id, service, zone, store, slots = 6, work }) {
    Object.assign(this, { id, service, zone, store, slots, work })
    this.runs = []
    this.running = 0
    this.sequence = 0
    this.born = Date.now()
    this.state = 'ready'
    this.server = createServer((request, response) => this.handle(request, response))
    this.server.keepAliveTimeout = 5000
  }

  async start () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
    this.register()
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS)
  }

  register () {
    this.sequence += 1
    this.store.put('keyed.servers', this.id, {
      service: this.service, address: this.address, zone: this.zone, version: 1, batchSize: this.slots, state: this.state, warmupLeftMs: 0, sequence: this.sequence, born: this.born
    })
  }

  async handle (request, response) {
    const id = request.headers['attempt-id']
    const parts = []
    try {
      for await (const part of request) parts.push(part)
    } catch {
      return
    }
    const isOther = request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== this.id
    if (isOther) return response.writeHead(421, { 'Attempt-Id': id, 'Instance-Id': this.id, 'Not-Executed': '1' }).end()
    const run = { id, server: this.id, at: performance.now(), headers: this.headers(id) }
    this.runs.push(run)
    this.running += 1
    response.on('close', () => { this.running -= 1 })
    await this.work(request, response, run)
  }

  headers (id) {
    return { 'Attempt-Id': id, 'Instance-Signature': `signature-of-${this.id}`, 'Instance-Load': `${this.running},0,${this.slots}` }
  }
}
