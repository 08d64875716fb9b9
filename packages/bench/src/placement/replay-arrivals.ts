import type { ChatArrival } from './chat-arrival.js'
import { LoadSamples } from './load-samples.js'
import type { PlacementFigures } from './placement-figures.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ReplayOptions } from './replay-options.js'
import { ReplayedEngine } from './replayed-engine.js'

/** Something that happens at a time of the replay. */
interface ReplayEvent {
  readonly at: number
  readonly run: () => void
}

/**
 * Places arrivals by a policy on engines that keep to the stand-ins' rules. A pure function of its input: the
 * oracle and the baselines get exactly the arrivals and losses that the measured fleet gets.
 * @param policy chooses an engine for each arrival
 * @param options arrivals, engines and losses
 */
export function replayArrivals (policy: PlacementPolicy, options: ReplayOptions): PlacementFigures {
  const engines = Array.from({ length: options.engines }, () => new ReplayedEngine(options.rules))
  const samples = new LoadSamples(options.bound)
  let found = 0
  let returning = 0
  const place = (arrival: ChatArrival, now: number, counts: boolean): void => {
    const cached = engines[policy.choose(arrival, engines, now)]?.add(arrival, now) ?? 0
    if (!counts || arrival.turn === 0 || now < options.warmUpMs) return
    found += cached
    returning += arrival.promptTokens
  }
  const events: ReplayEvent[] = options.arrivals.map((arrival) => ({ at: arrival.at, run: () => place(arrival, arrival.at, true) }))
  for (const loss of options.losses) {
    events.push({ at: loss.from, run: () => engines[loss.engine]?.lose().forEach((arrival) => place(arrival, loss.from, false)) })
    events.push({ at: loss.to, run: () => { (engines[loss.engine] as ReplayedEngine).live = true } })
  }
  const end = options.arrivals.at(-1)?.at ?? 0
  for (let at = options.warmUpMs; at < end; at += options.sampleMs) {
    events.push({ at, run: () => samples.take(engines.filter((engine) => engine.live).map((engine) => engine.load)) })
  }
  for (const event of events.sort((left, right) => left.at - right.at)) {
    for (const engine of engines) engine.advance(event.at)
    event.run()
  }
  return { reuse: found / Math.max(returning, 1), skewWorst: samples.skewWorst, shareOverBound: samples.shareOverBound, meanLoad: samples.meanLoad }
}
