import { createServer } from 'node:http'
import { decodeRecords, encodeRecord } from './keyed-record.mjs'
import { listen } from './listen.mjs'
import { readAll } from './read-all.mjs'

const HEADER_BYTES = 16
const GONE = 410

/**
 * Stand-in of the platform's store: keyed topics with one partition, in memory. It keeps all records, answers each call at once, and a
 * read that waits as soon as there is a record.
 */
export class Store {
  _topics = new Map()
  _waiting = new Set()
  _server = createServer((request, response) => {
    this._handle(request, response).catch(() => response.destroy())
  })

  /** Called with the topic and the offset of each read that is answered, and the remote port of its connection. */
  onRead = () => undefined

  /** Starts the store; returns its port. */
  async start () {
    this._server.keepAliveTimeout = 60_000
    return await listen(this._server)
  }

  /** Appends a record, as the operator or a server does; it is acknowledged when this returns. */
  put (topic, key, value) {
    this._topic(topic).push({ key, value })
    for (const wake of [...this._waiting]) wake()
  }

  async _handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const name = url.searchParams.get('topic')
    const topic = this._topic(name)
    const body = await readAll(request)
    if (url.pathname === '/mimosarock/log-append') {
      const offset = topic.length
      for (const { key, value } of decodeRecords(body)) this.put(name, key, value)
      return this._sendJson(response, { offset, endOffset: topic.length })
    }
    if (url.pathname === '/mimosarock/log-newest') return this._sendNewest(name, topic, response)
    if (url.pathname !== '/mimosarock/log-read') return response.writeHead(404).end()
    const from = Number(url.searchParams.get('from'))
    if (from > topic.length) return response.writeHead(GONE).end('{"startOffset":0}')
    if (topic.length <= from) await this._wait(Number(url.searchParams.get('waitMs') ?? 0))
    const header = Buffer.alloc(HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(topic.length))
    response.writeHead(200).end(Buffer.concat([header, ...topic.slice(from).map(({ key, value }) => encodeRecord(key, value))]))
    this.onRead(name, request.socket.remotePort)
  }

  _sendNewest (name, topic, response) {
    const newest = new Map()
    topic.forEach(({ key, value }, offset) => newest.set(key, { key, value: Buffer.from(value).toString('base64'), offset }))
    this._sendJson(response, { entries: [...newest.values()].filter(({ value }) => value !== ''), hasMore: false, endOffset: topic.length })
    this.onRead(name, response.socket?.remotePort)
  }

  _sendJson (response, fields) {
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(fields))
  }

  _wait (ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this._waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this._waiting.add(wake)
    })
  }

  _topic (name) {
    if (!this._topics.has(name)) this._topics.set(name, [])
    return this._topics.get(name)
  }
}
