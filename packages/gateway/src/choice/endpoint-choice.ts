import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { PromptPart } from '../model/prompt-part.js'
import { ChoiceReason } from './choice-reason.js'
import type { ChosenEndpoint } from './chosen-endpoint.js'
import type { EndpointChoiceOptions } from './endpoint-choice-options.js'

/** Share of the promised bound at which an endpoint is passed over; the rest covers reports that are late. */
const BOUND_SHARE = 0.8
/** Requests that an endpoint may hold beside the multiple of the mean. */
const BOUND_SLACK = 2
/** How many endpoints of a key's order are tried before the least loaded one is taken. */
const HOME_CANDIDATES = 3
/** Requests in flight that an endpoint of this zone may have more than one of another zone and still be chosen. */
const OTHER_ZONE_REQUESTS = 1
const KEY_DIGITS = 16

/** Member of a key's order. */
interface OrderMember {
  readonly name: string
  readonly capacity: number
  readonly endpoint: EndpointEntry
}

/**
 * Chooses the endpoint of a request. A prompt goes to the endpoint that holds its shared context, unless that one is
 * over the bound; else to the first of the key's rendezvous order that is under it, with the holder named so that
 * the context can be copied. Other requests go to the least loaded endpoint.
 */
export class EndpointChoice {
  private readonly _options: EndpointChoiceOptions
  private readonly _orders = new Map<string, { revision: number, order: RendezvousOrder<OrderMember> }>()

  /**
   * @param options the parts
   */
  constructor (options: EndpointChoiceOptions) {
    this._options = options
  }

  /**
   * Chooses an endpoint.
   * @param service name of the service
   * @param prompt parts of the prompt; empty for other requests
   * @param excluded identities of endpoints that this request was sent to before
   * @returns undefined if no endpoint is left
   */
  choose (service: string, prompt: readonly PromptPart[], excluded: ReadonlySet<string>): ChosenEndpoint | undefined {
    const ready = this._options.endpoints.ready(service).filter((endpoint) => !excluded.has(endpoint.id))
    if (ready.length === 0) return undefined
    const candidates = this._options.health.preferSound(ready)
    const bound = this._bound(service)
    const key = EndpointChoice.keyOf(prompt)
    if (key === undefined) return this._chosen(this._lowest(candidates) as EndpointEntry, ChoiceReason.LEAST_LOADED, [], undefined, bound)
    return this._chooseFor(key, service, candidates, bound)
  }

  /**
   * Key by which requests share context: the last part that more than one request may have.
   * @param prompt parts of the prompt
   */
  static keyOf (prompt: readonly PromptPart[]): string | undefined {
    return prompt.length > 1 ? prompt[prompt.length - 2]?.id : prompt[0]?.id
  }

  private _chooseFor (key: string, service: string, candidates: readonly EndpointEntry[], bound: number): ChosenEndpoint {
    const holders = this._options.holders.holders(key)
    const holding = candidates.filter((endpoint) => holders.includes(endpoint.id))
    const underBound = holding.filter((endpoint) => this._takesMore(endpoint, bound))
    const near = underBound.filter((endpoint) => endpoint.availabilityZone === this._options.availabilityZone)
    const holder = this._lowest(near.length > 0 ? near : underBound)
    if (holder !== undefined) return this._chosen(holder, ChoiceReason.HOLDER, [], undefined, bound)
    const homes = this._order(service).first(key.padStart(KEY_DIGITS, '0').slice(-KEY_DIGITS), HOME_CANDIDATES)
      .map((member) => member.endpoint)
    const source = this._source(holders) ?? this._assumedSource(homes)
    const home = homes.find((endpoint) => candidates.includes(endpoint) && this._takesMore(endpoint, bound))
    if (home !== undefined) return this._chosen(home, ChoiceReason.HOME, homes, source, bound)
    return this._chosen(this._lowest(candidates) as EndpointEntry, ChoiceReason.LEAST_LOADED, homes, source, bound)
  }

  private _chosen (
    endpoint: EndpointEntry, reason: ChoiceReason, homes: readonly EndpointEntry[], source: EndpointEntry | undefined, bound: number
  ): ChosenEndpoint {
    return {
      endpoint,
      contextHolder: source === endpoint ? undefined : source,
      reason,
      isFirstHome: endpoint === homes[0],
      load: this._options.loads.total(endpoint.id),
      bound
    }
  }

  /** In a large fleet nobody tells who holds a key at its first home, so that one is taken to hold it. */
  private _assumedSource (homes: readonly EndpointEntry[]): EndpointEntry | undefined {
    const [first] = homes
    const isAssumed = this._options.isFleetLarge() && first !== undefined && !this._options.health.isUnreachable(first.id)
    return isAssumed ? first : undefined
  }

  /** Beyond its slots an endpoint lets requests wait, however little it has against the others. */
  private _takesMore (endpoint: EndpointEntry, bound: number): boolean {
    return this._options.loads.total(endpoint.id) < Math.min(bound, endpoint.slots)
  }

  private _lowest (candidates: readonly EndpointEntry[]): EndpointEntry | undefined {
    let lowest: EndpointEntry | undefined
    let lowestLoad = Infinity
    const start = candidates.length === 0 ? 0 : Math.floor(Math.random() * candidates.length)
    for (let step = 0; step < candidates.length; step += 1) {
      const candidate = candidates[(start + step) % candidates.length] as EndpointEntry
      const distance = candidate.availabilityZone === this._options.availabilityZone ? 0 : OTHER_ZONE_REQUESTS
      const load = (this._options.loads.total(candidate.id) + distance) / Math.max(1, candidate.slots)
      if (load >= lowestLoad) continue
      lowest = candidate
      lowestLoad = load
    }
    return lowest
  }

  /** An endpoint that holds the key; one that is draining or has just left can still hand its context on. */
  private _source (holders: readonly string[]): EndpointEntry | undefined {
    for (const id of holders) {
      const entry = this._options.endpoints.findContextSource(id)
      if (entry !== undefined && !this._options.health.isUnreachable(id)) return entry
    }
    return undefined
  }

  private _bound (service: string): number {
    const endpoints = this._options.endpoints.ready(service)
    const sum = endpoints.reduce((total, endpoint) => total + this._options.loads.total(endpoint.id), 0)
    const mean = sum / Math.max(1, endpoints.length)
    return mean * this._options.loadBoundFactor() * BOUND_SHARE + BOUND_SLACK
  }

  private _order (service: string): RendezvousOrder<OrderMember> {
    const { endpoints } = this._options
    const ready = endpoints.ready(service)
    const held = this._orders.get(service)
    if (held?.revision === endpoints.revision) return held.order
    const order = new RendezvousOrder(ready.map((endpoint) => ({ name: endpoint.id, capacity: endpoint.slots, endpoint })))
    this._orders.set(service, { revision: endpoints.revision, order })
    return order
  }
}
