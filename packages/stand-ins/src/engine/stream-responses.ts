import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import { sendJson } from '../send-json.js'
import type { StandInServer } from '../stand-in-server.js'
import type { EngineStream } from './engine-stream.js'
import type { StreamRegistry } from './stream-registry.js'

/** Sends streams to their readers as HTTP responses. */
export class StreamResponses {
  private readonly _streams: StreamRegistry
  private readonly _faults: ModelEngineFaults
  private readonly _server: StandInServer

  /**
   * @param streams schedules the expiry of streams without readers
   * @param faults number of streams whose connection breaks, and after how many tokens
   * @param server identifies silenced connections
   */
  constructor (streams: StreamRegistry, faults: ModelEngineFaults, server: StandInServer) {
    this._streams = streams
    this._faults = faults
    this._server = server
  }

  /**
   * Sends the past and future events of a stream as server-sent events.
   * @param stream running or finished stream
   * @param from id of the first event
   * @param request HTTP request of the reader
   * @param response HTTP response; ended with the stream, destroyed if the stream is canceled or its connection is to break
   */
  sendEvents (stream: EngineStream, from: number, request: IncomingMessage, response: ServerResponse): void {
    const breakAtTokens = this._nextBreakAtTokens(stream)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    const past = stream.eventsFrom(from)
    if (past !== '') response.write(past)
    else response.flushHeaders()
    if (stream.finished) {
      response.end()
      return
    }
    const detach = this._attach(stream, request, response, (events, ended) => {
      // A reader may have requested an id beyond the produced events; it gets no earlier ones.
      if (events !== '' && stream.producedTokens > from) response.write(events)
      if (stream.producedTokens >= breakAtTokens) response.destroy()
      else if (ended && stream.finished) response.end()
      else if (ended) response.destroy()
      if (ended) detach()
    })
  }

  /**
   * Sends the completion as one JSON response when the stream is finished.
   * @param stream running stream
   * @param request HTTP request of the reader
   * @param response HTTP response; destroyed if the stream is canceled
   */
  sendCompletion (stream: EngineStream, request: IncomingMessage, response: ServerResponse): void {
    const detach = this._attach(stream, request, response, (_events, ended) => {
      if (!ended) return
      if (stream.finished) sendJson(response, 200, stream.completion())
      else response.destroy()
      detach()
    })
  }

  private _attach (stream: EngineStream, request: IncomingMessage, response: ServerResponse, reader: (events: string, ended: boolean) => void): () => void {
    const remove = stream.attach(reader)
    this._streams.cancelExpiry(stream)
    const detach = (): void => {
      remove()
      this._streams.scheduleExpiry(stream)
    }
    response.on('close', () => {
      // On a silenced connection the engine does not notice that its reader has disconnected.
      if (!this._server.isSilenced(request) || stream.finished) detach()
    })
    return detach
  }

  private _nextBreakAtTokens (stream: EngineStream): number {
    if (this._faults.brokenStreams <= 0) return Infinity
    this._faults.brokenStreams -= 1
    return stream.producedTokens + this._faults.breakAfterTokens
  }
}
