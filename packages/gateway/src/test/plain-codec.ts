import type { CallerRequest } from '@mimosarock/gateway/model/caller-request.js'
import type { DispatchHeaders } from '@mimosarock/gateway/model/dispatch-headers.js'
import type { WireCodec } from '@mimosarock/gateway/model/wire-codec.js'
import { headerCodec } from './header-codec.js'

/** Wire codec with simple header names, for tests. */
export const plainCodec: WireCodec = {
  ...headerCodec,
  readinessPath: '/ready',
  readCallerRequest (rawHeaders: readonly string[]): CallerRequest | undefined {
    const headers = new Map<string, string>()
    for (let index = 0; index < rawHeaders.length; index += 2) {
      headers.set((rawHeaders[index] as string).toLowerCase(), rawHeaders[index + 1] as string)
    }
    const id = headers.get('request-id')
    if (id === undefined || id === '') return undefined
    const deadline = headers.get('deadline')
    return {
      id,
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      apiKey: headers.get('key'),
      prompt: (headers.get('prompt') ?? '').split(',').filter((part) => part !== '').map((part) => ({ id: part, tokens: 10 })),
      promptTokens: 10
    }
  },
  writeDispatchHeaders (rawHeaders: readonly string[], dispatch: DispatchHeaders): string[] {
    const id = rawHeaders[rawHeaders.findIndex((name) => name.toLowerCase() === 'request-id') + 1] as string
    const headers = ['request-id', id, 'endpoint', dispatch.endpointId, 'deadline', String(dispatch.deadlineMs)]
    const prompt = rawHeaders.findIndex((name) => name.toLowerCase() === 'prompt')
    if (prompt >= 0) headers.push('prompt', rawHeaders[prompt + 1] as string)
    if (dispatch.workspace !== undefined) headers.push('workspace', dispatch.workspace)
    headers.push('priority', String(dispatch.priority))
    if (dispatch.contextHolder !== undefined) headers.push('copy-from', dispatch.contextHolder)
    if (dispatch.lastEventId !== undefined) headers.push('last-event', dispatch.lastEventId)
    return headers
  }
}
