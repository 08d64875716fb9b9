// Stand-in of the platform's metadata store, in memory: keyed topics with one partition, as PROTOCOL.md describes them.
import { createServer } from 'node:http'

const HEADER_BYTES = 16
const LENGTH_BYTES = 4

function encodeRecord (key, value) {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

function decodeRecords (bytes) {
  const records = []
  let position = 0
  while (position + LENGTH_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(position)
    const content = bytes.subarray(position + LENGTH_BYTES, position + LENGTH_BYTES + length)
    const keyEnd = 1 + content[0]
    records.push({ key: content.subarray(1, keyEnd).toString(), value: content.subarray(keyEnd).toString() })
    position += LENGTH_BYTES + length
  }
  return records
}

export class Store {
  constructor () {
    this.topics = new Map()
    this.waiting = new Set()
    /** Time that each answer takes in addition, in milliseconds. */
    this.answerMs = 0
    this.server = createServer((request, response) => this.handle(request, response))
    this.server.keepAliveTimeout = 60_000
  }

  async listen () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  /** Appends a record; an empty value drops the key. The time at which this returns is that of the acknowledgement. */
  put (topic, key, value) {
    this.topic(topic).push({ key, value: typeof value === 'string' ? value : JSON.stringify(value) })
    for (const wake of [...this.waiting]) wake(topic)
  }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, [])
    return this.topics.get(name)
  }

  async handle (request, response) {
    if (this.answerMs > 0) await new Promise((resolve) => setTimeout(resolve, this.answerMs))
    const url = new URL(request.url, 'http://store')
    const name = url.searchParams.get('topic') ?? ''
    const records = this.topic(name)
    if (url.pathname === '/mimosarock/log-append') {
      const parts = []
      for await (const part of request) parts.push(part)
      const offset = records.length
      for (const { key, value } of decodeRecords(Buffer.concat(parts))) this.put(name, key, value)
      return this.sendJson(response, { offset, endOffset: records.length })
    }
    if (url.pathname === '/mimosarock/log-newest') {
      const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value: Buffer.from(value).toString('base64'), offset }]))
      const entries = [...newest.values()].filter(({ value }) => value !== '')
      return this.sendJson(response, { entries, hasMore: false, endOffset: records.length })
    }
    if (url.pathname === '/mimosarock/log-read') return this.read(name, records, url.searchParams, response)
    response.writeHead(404).end()
  }

  async read (name, records, query, response) {
    const from = Number(query.get('from'))
    const waitMs = Number(query.get('waitMs') ?? 0)
    if (records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer)
          this.waiting.delete(wake)
          resolve()
        }
        const wake = (topic) => { if (topic === name) end() }
        const timer = setTimeout(end, waitMs)
        this.waiting.add(wake)
      })
    }
    const header = Buffer.alloc(HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(records.length))
    response.writeHead(200).end(Buffer.concat([header, ...records.slice(from).map(({ key, value }) => encodeRecord(key, value))]))
  }

  sendJson (response, body) {
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
  }
}
