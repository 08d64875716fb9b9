import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ModelEngineFaults } from '../model-engine-faults.js'
import { sendJson } from '../send-json.js'
import type { StandInServer } from '../stand-in-server.js'
import type { EngineStream } from './engine-stream.js'
import type { StreamRegistry } from './stream-registry.js'

/** Sends streams to those who read them. */
export class StreamAnswers {
  private readonly _streams: StreamRegistry
  private readonly _faults: ModelEngineFaults
  private readonly _server: StandInServer

  /**
   * @param streams where a stream without a reader waits for the next one
   * @param faults which streams break
   * @param server knows which connections are silenced
   */
  constructor (streams: StreamRegistry, faults: ModelEngineFaults, server: StandInServer) {
    this._streams = streams
    this._faults = faults
    this._server = server
  }

  /**
   * Sends the events of a stream as server-sent events.
   * @param stream the stream
   * @param from first id
   * @param request the request
   * @param response the answer
   */
  sendEvents (stream: EngineStream, from: number, request: IncomingMessage, response: ServerResponse): void {
    const breakAt = this._takeBreak(stream)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    const past = stream.eventsFrom(from)
    if (past !== '') response.write(past)
    else response.flushHeaders()
    if (stream.finished) {
      response.end()
      return
    }
    const detach = this._attach(stream, request, response, (events, ended) => {
      // A reader that asked for later events than exist gets none of those before.
      if (events !== '' && stream.producedTokens > from) response.write(events)
      if (stream.producedTokens >= breakAt) response.destroy()
      else if (ended && stream.finished) response.end()
      else if (ended) response.destroy()
      if (ended) detach()
    })
  }

  /**
   * Sends the whole answer as JSON once it is there.
   * @param stream the stream
   * @param request the request
   * @param response the answer
   */
  sendWhole (stream: EngineStream, request: IncomingMessage, response: ServerResponse): void {
    const detach = this._attach(stream, request, response, (_events, ended) => {
      if (!ended) return
      if (stream.finished) sendJson(response, 200, stream.completion())
      else response.destroy()
      detach()
    })
  }

  private _attach (stream: EngineStream, request: IncomingMessage, response: ServerResponse, reader: (events: string, ended: boolean) => void): () => void {
    const remove = stream.attach(reader)
    this._streams.keep(stream)
    const detach = (): void => {
      remove()
      this._streams.release(stream)
    }
    response.on('close', () => {
      // Behind a connection that went silent the engine does not learn that its reader has left.
      if (!this._server.isSilenced(request) || stream.finished) detach()
    })
    return detach
  }

  private _takeBreak (stream: EngineStream): number {
    if (this._faults.brokenStreams <= 0) return Infinity
    this._faults.brokenStreams -= 1
    return stream.producedTokens + this._faults.breakAfterTokens
  }
}
