// A client of the system: sends requests as PROTOCOL.md describes them, over connections that it keeps.
import { request as httpRequest } from 'node:http'

let lastId = 0

/** Returns a new id of an attempt. */
export function newId () {
  lastId += 1
  return `${process.pid.toString(16)}${lastId.toString(16).padStart(8, '0')}`
}

/**
 * Sends a request. Never rejects; the status is 0 if the connection ended before an answer.
 * @param options where to send it and what: agent, host, port, method, path, name of the host, key, deadline, further headers, body, and a signal that makes the client leave
 */
export function send ({ agent, host, port, method = 'GET', path, hostName, key, deadlineMs, headers: more = {}, body, id = newId(), signal }) {
  return new Promise((resolve) => {
    const sentAt = performance.now()
    const headers = { Host: hostName, 'Attempt-Id': id, 'Deadline-Ms': String(deadlineMs), Authorization: `Bearer ${key}`, ...more }
    if (body !== undefined) headers['Content-Length'] = String(Buffer.byteLength(body))
    const request = httpRequest({ agent, host, port, method, path, headers, signal }, (response) => {
      const parts = []
      response.on('data', (part) => parts.push(part))
      response.on('error', () => undefined)
      response.on('close', () => resolve({ id, sentAt, status: response.statusCode, headers: response.headers, body: Buffer.concat(parts), isWhole: response.complete, isKept: request.reusedSocket }))
    })
    request.on('error', (error) => resolve({ id, sentAt, status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false, isKept: request.reusedSocket, problem: error.message }))
    request.end(body)
  })
}
