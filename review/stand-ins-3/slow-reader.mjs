// A client that reads its answer slowly and steadily.
import { createConnection } from 'node:net'
import { newId } from './client.mjs'

const STEP_MS = 20
const MS_PER_S = 1000
/** End of an answer that is sent in chunks, as a router sends long ones. */
const LAST_CHUNK = '\r\n0\r\n\r\n'

export class SlowReader {
  constructor (options) {
    Object.assign(this, options)
    this.id = newId()
    this.receivedBytes = 0
    this.isComplete = false
    this.tail = ''
    this.ended = new Promise((resolve) => { this.end = resolve })
  }

  start () {
    const { host, port, path, hostName, key, deadlineMs } = this
    this.socket = createConnection({ host, port })
    this.socket.write(`GET ${path} HTTP/1.1\r\nHost: ${hostName}\r\nAttempt-Id: ${this.id}\r\nDeadline-Ms: ${deadlineMs}\r\nAuthorization: Bearer ${key}\r\n\r\n`)
    this.socket.on('error', (error) => { this.problem = error.code })
    this.socket.on('close', () => this.finish())
    this.socket.on('data', (part) => this.receive(part))
    this.startedAt = performance.now()
    this.timer = setInterval(() => { if (this.receivedBytes < this.allowedBytes) this.socket.resume() }, STEP_MS)
  }

  get allowedBytes () {
    return (performance.now() - this.startedAt) / MS_PER_S * this.bytesPerS
  }

  receive (part) {
    this.receivedBytes += part.length
    this.tail = (this.tail + part.subarray(-LAST_CHUNK.length).toString('latin1')).slice(-LAST_CHUNK.length)
    if (this.tail === LAST_CHUNK) {
      this.isComplete = true
      return this.finish()
    }
    if (this.receivedBytes >= this.allowedBytes) this.socket.pause()
  }

  finish () {
    if (this.endedAt !== undefined) return
    this.endedAt = performance.now()
    clearInterval(this.timer)
    this.socket.destroy()
    this.end()
  }
}
