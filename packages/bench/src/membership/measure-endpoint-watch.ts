import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { EndpointWatch } from '@mimosarock/router/watch/endpoint-watch.js'
import { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'

const WINDOW_MS = 10_000
const POLL_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
/** Pause between chats; short enough that the engine publishes cache events continuously. */
const CHAT_INTERVAL_MS = 100

/**
 * Measures the request traffic for watching one busy engine: probes, load reports and reads of cache events.
 * @returns bytes sent per second
 */
export async function measureEndpointWatch (): Promise<number> {
  const engine = new ModelEngineStandIn({ tokenMs: 1 })
  await engine.server.start()
  const traffic = new TrafficCounter()
  const watch = new EndpointWatch({
    address: engine.address,
    publishesCacheEvents: true,
    clock: new SystemClock(),
    eventLog: new SilentEventLog(),
    traffic,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    pollMs: POLL_MS,
    onLoadReport: () => {},
    onProbe: () => {}
  })
  const stopController = new AbortController()
  const watching = watch.run(stopController.signal)
  const startedAt = performance.now()
  for (let chat = 0; performance.now() - startedAt < WINDOW_MS; chat += 1) await runChat(engine.address, chat)
  const rate = traffic.total / ((performance.now() - startedAt) / 1_000)
  stopController.abort()
  await watching
  await engine.server.stop()
  return rate
}

async function runChat (address: string, chat: number): Promise<void> {
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': `chat-${chat}`, 'x-cache-key': `key-${chat}` },
    body: JSON.stringify({ model: 'm', messages: [{ role: 'user', content: `chat number ${chat}` }], max_tokens: 1 })
  })
  await response.text()
  await new Promise((resolve) => setTimeout(resolve, CHAT_INTERVAL_MS))
}
