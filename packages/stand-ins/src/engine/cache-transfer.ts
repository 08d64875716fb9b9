import type { ServerResponse } from 'node:http'
import { sendJson } from '../send-json.js'
import type { PrefixCache } from './prefix-cache.js'

/** Bound on fetching a cache from another engine, in milliseconds. */
const IMPORT_TIMEOUT_MS = 10_000

/** Exports caches to other engines and imports theirs. */
export class CacheTransfer {
  private readonly _cache: PrefixCache
  private readonly _bytesPerToken: number

  /**
   * @param cache what is exported and imported
   * @param bytesPerToken size of the cache of one token
   */
  constructor (cache: PrefixCache, bytesPerToken: number) {
    this._cache = cache
    this._bytesPerToken = bytesPerToken
  }

  /**
   * Sends a cache.
   * @param cacheKey the chat's key
   * @param response the answer; 404 if the key is not held
   */
  export (cacheKey: string, response: ServerResponse): void {
    const tokens = this._cache.tokensOf(cacheKey)
    if (tokens === 0) {
      sendJson(response, 404, { error: { message: 'not held' } })
      return
    }
    const bytes = tokens * this._bytesPerToken
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes, 'x-tokens': `${tokens}` })
    response.end(Buffer.alloc(bytes))
  }

  /**
   * Fetches a cache from another engine.
   * @param body the request's body
   * @param response the answer; the other engine's status if it does not give the cache
   */
  async import (body: Buffer, response: ServerResponse): Promise<void> {
    const order = JSON.parse(body.toString()) as { cache_key: string, source: string }
    const url = `http://${order.source}/v1/kv/export/${encodeURIComponent(order.cache_key)}`
    const answer = await fetch(url, { signal: AbortSignal.timeout(IMPORT_TIMEOUT_MS) })
    const bytes = (await answer.arrayBuffer()).byteLength
    if (!answer.ok) {
      sendJson(response, answer.status, { error: { message: 'the source does not give the cache' } })
      return
    }
    const tokens = Number(answer.headers.get('x-tokens'))
    this._cache.store(order.cache_key, Math.max(tokens, this._cache.tokensOf(order.cache_key)))
    sendJson(response, 200, { tokens, bytes })
  }
}
