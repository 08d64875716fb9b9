import type { ChatArrival } from './chat-arrival.js'
import { LoadSamples } from './load-samples.js'
import type { PlacementFigures } from './placement-figures.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayOptions } from './replay-options.js'
import { ReplayedEngine } from './replayed-engine.js'

/** Action at a point in time of the replay. */
interface ReplayEvent {
  readonly at: number
  readonly run: () => void
}

/**
 * Places arrivals by a policy on simulated engines that behave like the stand-ins. The result depends only on the
 * arguments, so that the oracle and the baselines get exactly the arrivals and outages of the measured fleet.
 * @param policy chooses an engine for each arrival
 * @param options arrivals, engines and outages
 */
export function replayArrivals (policy: PlacementPolicy, options: ReplayOptions): PlacementFigures {
  const engines = Array.from({ length: options.engineCount }, () => new ReplayedEngine(options.engineParameters))
  const samples = new LoadSamples(options.bound)
  let cachedTokens = 0
  let returningTokens = 0
  const place = (arrival: ChatArrival, now: number, isMeasured: boolean): void => {
    const cached = engines[policy.choose(arrival, engines, now)]?.add(arrival, now) ?? 0
    if (!isMeasured || arrival.turn === 0 || now < options.warmUpMs) return
    cachedTokens += cached
    returningTokens += arrival.promptTokens
  }
  const events: ReplayEvent[] = options.arrivals.map((arrival) => ({ at: arrival.arrivesAt, run: () => place(arrival, arrival.arrivesAt, true) }))
  for (const outage of options.outages) {
    events.push({ at: outage.from, run: () => engines[outage.engine]?.crash().forEach((arrival) => place(arrival, outage.from, false)) })
    events.push({ at: outage.to, run: () => { (engines[outage.engine] as ReplayedEngine).live = true } })
  }
  const end = options.arrivals.at(-1)?.arrivesAt ?? 0
  for (let at = options.warmUpMs; at < end; at += options.sampleMs) {
    events.push({ at, run: () => samples.record(engines.filter((engine) => engine.live).map((engine) => engine.load)) })
  }
  for (const event of events.sort((left, right) => left.at - right.at)) {
    for (const engine of engines) engine.advance(event.at)
    event.run()
  }
  return { reuse: cachedTokens / Math.max(returningTokens, 1), skewWorst: samples.skewWorst, shareOverBound: samples.shareOverBound, meanLoad: samples.meanLoad }
}
