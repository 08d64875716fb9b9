import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { LogServiceFaults } from './log-service-faults.js'
import { readBody } from './read-body.js'
import { sendJson } from './send-json.js'
import type { StandInHandler } from './stand-in-handler.js'

const RECORDS_PATH = /^\/v1\/streams\/([^/]+)\/records$/

/**
 * Creates a handler that serves a log service over HTTP. During an outage a failed call gets status 503; otherwise, as
 * for a lost response, its connection is closed.
 * @param service log service and its faults
 * @param isSilenced returns whether the connection of a request is silenced; an append on such a connection has no effect
 * @returns handler for the records of all streams
 */
export function logServiceHandler (service: LogService & { faults: LogServiceFaults }, isSilenced: (request: IncomingMessage) => boolean): StandInHandler {
  return async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://log')
    const stream = RECORDS_PATH.exec(url.pathname)?.[1]
    if (stream === undefined) {
      sendJson(response, 404, { error: 'unknown path' })
      return
    }
    const closed = new AbortController()
    response.on('close', () => closed.abort())
    try {
      if (request.method === 'POST') await append(service, decodeURIComponent(stream), request, response, closed.signal, isSilenced)
      else await read(service, decodeURIComponent(stream), url.searchParams, response, closed.signal)
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      const isOutage = service.faults.appendOutage || service.faults.readOutage
      if (isOutage) sendJson(response, 503, { error: error.message })
      else response.destroy()
    }
  }
}

async function append (service: LogService, stream: string, request: IncomingMessage, response: ServerResponse, signal: AbortSignal, isSilenced: (request: IncomingMessage) => boolean): Promise<void> {
  const data = await readBody(request)
  if (isSilenced(request)) return
  const offset = await service.append(stream, data, signal)
  sendJson(response, 201, { offset })
}

async function read (service: LogService, stream: string, query: URLSearchParams, response: ServerResponse, signal: AbortSignal): Promise<void> {
  const result = await service.read(stream, Number(query.get('from') ?? 1), {
    limit: Number(query.get('limit') ?? 500),
    waitMs: Number(query.get('wait_ms') ?? 0),
    signal
  })
  sendJson(response, 200, {
    oldest_offset: result.oldestOffset,
    next_offset: result.nextOffset,
    records: result.records.map((record) => ({ offset: record.offset, data: Buffer.from(record.data).toString('base64') }))
  })
}
