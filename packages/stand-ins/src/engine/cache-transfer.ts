import type { ServerResponse } from 'node:http'
import { sendJson } from '../send-json.js'
import type { PrefixCache } from './prefix-cache.js'

/** Timeout for fetching a cache from another engine. */
const IMPORT_TIMEOUT_MS = 10_000

/** Transfers caches of chats between engines, without real content. */
export class CacheTransfer {
  private readonly _cache: PrefixCache
  private readonly _bytesPerToken: number

  /**
   * @param cache cache that is exported from and imported into
   * @param bytesPerToken size of one cached token in an export, in bytes
   */
  constructor (cache: PrefixCache, bytesPerToken: number) {
    this._cache = cache
    this._bytesPerToken = bytesPerToken
  }

  /**
   * Sends the cache of a chat, as zero bytes of the matching length.
   * @param cacheKey cache key of the chat
   * @param response HTTP response; 404 if the cache has no entry for the key
   */
  export (cacheKey: string, response: ServerResponse): void {
    const tokens = this._cache.tokensOf(cacheKey)
    if (tokens === 0) {
      sendJson(response, 404, { error: { message: 'no cache entry for this key' } })
      return
    }
    const bytes = tokens * this._bytesPerToken
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': bytes, 'x-tokens': `${tokens}` })
    response.end(Buffer.alloc(bytes))
  }

  /**
   * Fetches the cache of a chat from another engine and stores it.
   * @param body body of the import request: a JSON object with the cache key and the address of the source engine
   * @param response HTTP response; carries the status of the source engine if the export fails
   */
  async import (body: Buffer, response: ServerResponse): Promise<void> {
    const importRequest = JSON.parse(body.toString()) as { cache_key: string, source: string }
    const url = `http://${importRequest.source}/v1/kv/export/${encodeURIComponent(importRequest.cache_key)}`
    const sourceResponse = await fetch(url, { signal: AbortSignal.timeout(IMPORT_TIMEOUT_MS) })
    const bytes = (await sourceResponse.arrayBuffer()).byteLength
    if (!sourceResponse.ok) {
      sendJson(response, sourceResponse.status, { error: { message: 'the source engine did not export the cache' } })
      return
    }
    const tokens = Number(sourceResponse.headers.get('x-tokens'))
    this._cache.store(importRequest.cache_key, Math.max(tokens, this._cache.tokensOf(importRequest.cache_key)))
    sendJson(response, 200, { tokens, bytes })
  }
}
