import { createServer } from 'node:http'
import { once } from 'node:events'

const OPERATOR_TOPIC = 'keyed.op'
const ENDPOINTS_TOPIC = 'keyed.servers'
const POLL_MS = 5
const LENGTH_BYTES = 4
const HEADER_BYTES = 16

/** Stand-in of the platform's store: keyed topics of one partition, in memory, as PROTOCOL.md describes them. */
export class Store {
  /** Records of each topic by name, in the order of their offsets. */
  topics = new Map()
  /** Versions of the configuration with the time at which each was acknowledged. */
  acknowledged = []

  /** Starts to listen. */
  async start (host) {
    this.server = createServer((request, response) => this.#handle(request, response).catch(() => response.destroy()))
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
  }

  /** Stops the store and its connections. */
  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Writes a configuration, as the operator does. */
  putConfiguration (configuration) {
    this.put(OPERATOR_TOPIC, 'config', configuration)
    this.acknowledged.push({ version: configuration.version, at: performance.now() })
  }

  /** Writes or removes the entry of a server, as the server does. */
  putServer (id, entry) {
    this.put(ENDPOINTS_TOPIC, id, entry)
  }

  /** Appends a record; a value of undefined drops the key. */
  put (topic, key, value) {
    this.#topic(topic).push({ key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)) })
  }

  #topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, [])
    return this.topics.get(name)
  }

  async #handle (request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const records = this.#topic(searchParams.get('topic'))
    if (pathname === '/mimosarock/log-append') await this.#append(records, request, response)
    else if (pathname === '/mimosarock/log-newest') this.#sendNewest(records, response)
    else if (pathname === '/mimosarock/log-read') await this.#sendChanges(records, searchParams, response)
    else response.writeHead(404).end()
  }

  async #append (records, request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const offset = records.length
    records.push(...decode(Buffer.concat(chunks)))
    sendJson(response, { offset, endOffset: records.length })
  }

  #sendNewest (records, response) {
    const newest = new Map()
    records.forEach(({ key, value }, offset) => newest.set(key, { key, value: value.toString('base64'), offset }))
    const entries = [...newest.values()].filter(({ value }) => value !== '')
    sendJson(response, { entries, hasMore: false, endOffset: records.length })
  }

  async #sendChanges (records, query, response) {
    const from = Number(query.get('from'))
    const until = performance.now() + Number(query.get('waitMs') ?? 0)
    while (records.length <= from && performance.now() < until) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    const header = Buffer.alloc(HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(records.length))
    response.writeHead(200).end(Buffer.concat([header, ...records.slice(from).map(encode)]))
  }
}

function sendJson (response, body) {
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function encode ({ key, value }) {
  const keyBytes = Buffer.from(key)
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(1 + keyBytes.length + value.length)
  return Buffer.concat([length, Buffer.from([keyBytes.length]), keyBytes, value])
}

function decode (bytes) {
  const records = []
  let position = 0
  while (position + LENGTH_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(position)
    const content = bytes.subarray(position + LENGTH_BYTES, position + LENGTH_BYTES + length)
    const keyEnd = 1 + content[0]
    records.push({ key: content.subarray(1, keyEnd).toString(), value: content.subarray(keyEnd) })
    position += LENGTH_BYTES + length
  }
  return records
}
