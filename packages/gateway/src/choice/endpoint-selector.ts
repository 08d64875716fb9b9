import type { EndpointEntry } from '../model/endpoint-entry.js'
import { ColdPreference } from '../warm-up/cold-preference.js'
import type { PromptPart } from '../model/prompt-part.js'
import { allowedEndpoints } from './allowed-endpoints.js'
import type { ChoiceConstraints } from './choice-constraints.js'
import { ChoiceReason } from './choice-reason.js'
import type { ChosenEndpoint } from './chosen-endpoint.js'
import { EndpointOrders } from './endpoint-orders.js'
import type { EndpointSelectorOptions } from './endpoint-selector-options.js'
import type { MayRunAt } from './may-run-at.js'
import { ServiceLoads } from './service-loads.js'

/** Number of endpoints of a key's rendezvous order that are considered before the least loaded endpoint is chosen. */
const RENDEZVOUS_CANDIDATES = 3
/** Fraction of its slots in use from which on an endpoint is relieved by others, although they have a rate limit. */
const BUSY_FRACTION = 0.5
/** Number of endpoints of the order that are looked up while some of them may be left out because of a rate limit. */
const RENDEZVOUS_LOOKUP_WITH_LIMITS = 12
/** Requests added to the load of an endpoint in another availability zone, which favors the zone of the router. */
const OTHER_ZONE_PENALTY_REQUESTS = 1
/** Number of routers up to which each one compares the loads of all endpoints. */
const ROUTERS_THAT_COMPARE_ALL = 6
/** Part of an endpoint's capacity over which it takes ever fewer of the requests for its contexts, down to none when it has no capacity left. */
const GRADUAL_FRACTION = 0.5
/** Minimum number of endpoints whose loads are compared. */
const MINIMUM_SAMPLE = 2

/**
 * Selects the endpoint of a request. A request with a prompt goes to an endpoint that holds the cached context of its key,
 * unless all of these have reached the load bound or have no free slot. In that case it goes to the first endpoint of the
 * key's rendezvous order that has capacity, or to the least loaded endpoint if the first few of the order have none. The
 * result names a holder from which the context can be copied. Requests without a prompt go to the least loaded endpoint.
 * Endpoints with a rate limit are left out while this router has no permit for them.
 */
export class EndpointSelector {
  private readonly _options: EndpointSelectorOptions
  private readonly _coldPreference: ColdPreference
  private readonly _orders: EndpointOrders
  private readonly _serviceLoads: ServiceLoads

  /**
   * @param options data and settings that decide the selection
   */
  constructor (options: EndpointSelectorOptions) {
    this._options = options
    this._coldPreference = new ColdPreference(options.warmUps)
    this._orders = new EndpointOrders(options.endpoints)
    this._serviceLoads = new ServiceLoads(options)
  }

  /**
   * Selects an endpoint for a request.
   * @param service name of the service
   * @param prompt parts of the prompt; empty for requests without one
   * @param constraints what restricts the choice
   * @returns undefined if no endpoint is left
   */
  choose (service: string, prompt: readonly PromptPart[], { excluded, isShort = false, needsWarm = false, mayRunAt }: ChoiceConstraints): ChosenEndpoint | undefined {
    const { endpoints, pauses, permits } = this._options
    const ready = pauses.withoutPaused(endpoints.ready(service)).filter((endpoint) => {
      return !excluded.has(endpoint.id) && permits.allows(endpoint) && mayRunAt?.(endpoint) !== false
    })
    if (ready.length === 0) return undefined
    const { mean, bound } = this._serviceLoads.of(service)
    const healthy = this._options.health.preferHealthy(ready)
    // A request that failed elsewhere is not sent to an endpoint that may fail it again.
    const trial = excluded.size === 0 ? this._options.outliers?.pickTrial(ready) : undefined
    if (trial !== undefined && !this._options.health.isSuspect(trial.id) && this._hasCapacity(trial, bound)) {
      return this._createChosen(trial, ChoiceReason.TRIAL, undefined, undefined, bound)
    }
    const suited = this._coldPreference.apply(
      healthy, needsWarm, (endpoint) => this._hasCapacity(endpoint, bound), ({ id }) => this._options.loads.total(id) < Math.max(1, mean)
    )
    const key = EndpointSelector.keyOf(prompt)
    // A cached context saves more than a cold endpoint gains.
    const isForHolder = key !== undefined && suited !== healthy && !needsWarm && this._holdersWithCapacity(this._options.holders.holders(key), healthy, bound).length > 0
    const chosenFrom = isForHolder ? healthy : suited
    const candidates = isShort && chosenFrom === healthy ? this._preferCapacity(healthy, bound) : chosenFrom
    if (key === undefined) {
      const leastLoaded = this._leastLoaded(this._preferBelowBound(candidates, bound)) as EndpointEntry
      return this._createChosen(leastLoaded, ChoiceReason.LEAST_LOADED, undefined, undefined, bound)
    }
    return this._chooseForKey(key, service, candidates, bound, mayRunAt)
  }

  /**
   * Returns an endpoint that a slot owner has chosen, with what this router knows of the context.
   * @param endpoint the endpoint
   * @param prompt parts of the prompt; empty for requests without one
   * @param mayRunAt returns whether the request may run at an endpoint; undefined if it may run at all of them
   */
  chooseGranted (endpoint: EndpointEntry, prompt: readonly PromptPart[], mayRunAt?: MayRunAt): ChosenEndpoint {
    const { bound } = this._serviceLoads.of(endpoint.service)
    const key = EndpointSelector.keyOf(prompt)
    if (key === undefined) return this._createChosen(endpoint, ChoiceReason.GRANTED, undefined, undefined, bound)
    const holders = this._options.holders.holders(key)
    const primary = this._orders.primary(endpoint.service, key)
    const source = holders.includes(endpoint.id) ? undefined : this._contextSource(holders, mayRunAt) ?? this._assumedContextSource(primary, mayRunAt)
    return this._createChosen(primary?.id === endpoint.id ? primary : endpoint, ChoiceReason.GRANTED, primary, source, bound)
  }

  /**
   * Returns the ids of the endpoints that hold the context of a prompt, or are to hold it; undefined for an empty prompt.
   * @param service name of the service
   * @param prompt parts of the prompt; empty for requests without one
   */
  preferredFor (service: string, prompt: readonly PromptPart[]): readonly string[] | undefined {
    const key = EndpointSelector.keyOf(prompt)
    if (key === undefined) return undefined
    const holders = this._options.holders.holders(key)
    if (holders.length > 0) return [...holders]
    return this._orders.first(service, key, 1, undefined).map(({ id }) => id)
  }

  /**
   * Returns whether a chosen endpoint still takes requests: the same incarnation is registered, neither leaving nor paused, and its
   * zone is not evacuated.
   * @param endpoint the endpoint, as it was chosen
   */
  isUsable (endpoint: EndpointEntry): boolean {
    const { endpoints, pauses } = this._options
    const entry = endpoints.find(endpoint.id)
    return entry?.startedAt === endpoint.startedAt && !entry.isDraining && !endpoints.isEvacuated(entry) && pauses.remainingMs(entry) === 0
  }

  /**
   * Returns the milliseconds until the first endpoint of a service takes requests; 0 if one does now, or there is none.
   * @param service name of the service
   * @param mayRunAt returns whether a request may run at an endpoint; undefined if it may run at all of them
   */
  pauseMs (service: string, mayRunAt?: MayRunAt): number {
    return this._options.pauses.remainingOfAllMs(this._ready(service, mayRunAt))
  }

  /**
   * Returns whether a service has an endpoint that is registered and not draining.
   * @param service name of the service
   * @param mayRunAt returns whether a request may run at an endpoint; undefined if it may run at all of them
   */
  hasEndpoint (service: string, mayRunAt?: MayRunAt): boolean {
    return this._ready(service, mayRunAt).length > 0
  }

  /**
   * Returns the key under which prompts share a cached context; undefined for an empty prompt. The key is the id of the
   * second to last part, since the last part is specific to one request, or of the only part.
   * @param prompt parts of the prompt, in order
   */
  static keyOf (prompt: readonly PromptPart[]): string | undefined {
    return prompt.length > 1 ? prompt[prompt.length - 2]?.id : prompt[0]?.id
  }

  private _ready (service: string, mayRunAt: MayRunAt | undefined): readonly EndpointEntry[] {
    return allowedEndpoints(this._options.endpoints.ready(service), mayRunAt)
  }

  private _chooseForKey (
    key: string, service: string, candidates: readonly EndpointEntry[], bound: number, mayRunAt: MayRunAt | undefined
  ): ChosenEndpoint {
    const holders = this._options.holders.holders(key)
    const holder = this._leastLoadedHolder(candidates.filter((endpoint) => holders.includes(endpoint.id) && this._takesForContext(endpoint, bound)))
    if (holder !== undefined) return this._createChosen(holder, ChoiceReason.HOLDER, undefined, undefined, bound)
    const lookup = this._options.permits.isNeeded ? RENDEZVOUS_LOOKUP_WITH_LIMITS : RENDEZVOUS_CANDIDATES
    const order = this._orders.first(service, key, lookup, mayRunAt)
    const primary = this._orders.primary(service, key)
    const source = this._contextSource(holders, mayRunAt) ?? this._assumedContextSource(primary, mayRunAt)
    const available = this._firstAvailable(order, candidates, bound, source !== undefined)
    if (available !== undefined) return this._createChosen(available, ChoiceReason.HOME, primary, source, bound)
    const leastLoaded = this._leastLoaded(this._preferCapacity(candidates, bound)) as EndpointEntry
    return this._createChosen(leastLoaded, ChoiceReason.LEAST_LOADED, primary, source, bound)
  }

  /** Returns the candidates that hold a context and have capacity. */
  private _holdersWithCapacity (holders: readonly string[], candidates: readonly EndpointEntry[], bound: number): readonly EndpointEntry[] {
    return candidates.filter((endpoint) => holders.includes(endpoint.id) && this._hasCapacity(endpoint, bound))
  }

  /** Returns the least loaded of some holders, those of the own availability zone first. */
  private _leastLoadedHolder (holders: readonly EndpointEntry[]): EndpointEntry | undefined {
    const sameZone = holders.filter((endpoint) => endpoint.availabilityZone === this._options.availabilityZone)
    return this._leastLoaded(sameZone.length > 0 ? sameZone : holders)
  }

  /**
   * Returns the first endpoint of a rendezvous order that has capacity, among the first few that can be chosen. A context that has to be
   * copied is better copied to an endpoint without a rate limit, which can also take the next requests for it; if that is busy, it is
   * relieved by those with a limit for which this router holds permits.
   */
  private _firstAvailable (
    order: readonly EndpointEntry[], candidates: readonly EndpointEntry[], bound: number, isCopied: boolean
  ): EndpointEntry | undefined {
    const { permits } = this._options
    const preferred = order.filter((endpoint) => candidates.includes(endpoint))
    const first = (endpoints: readonly EndpointEntry[]): EndpointEntry | undefined => {
      return endpoints.slice(0, RENDEZVOUS_CANDIDATES).find((endpoint) => this._takesForContext(endpoint, bound))
    }
    if (!isCopied || !permits.isNeeded) return first(preferred)
    const unlimited = first(preferred.filter((endpoint) => !this._statesLimit(endpoint)))
    if (unlimited !== undefined && !this._isBusy(unlimited)) return unlimited
    const limited = candidates.filter((endpoint) => this._statesLimit(endpoint) && this._hasCapacity(endpoint, bound))
    return this._leastLoaded(limited) ?? unlimited
  }

  /** Returns whether an endpoint has a rate limit for longer than its warm-up. One that warms up will take the next requests for a context, too. */
  private _statesLimit (endpoint: EndpointEntry): boolean {
    const { permits, warmUps } = this._options
    return permits.isLimited(endpoint) && warmUps?.limitOf(endpoint) === undefined
  }

  private _isBusy ({ id, slots }: EndpointEntry): boolean {
    return this._options.loads.total(id) >= slots * BUSY_FRACTION
  }

  /** Returns the candidates that have capacity, those without a rate limit if there are some; if none has capacity, those below the load bound. */
  private _preferCapacity (candidates: readonly EndpointEntry[], bound: number): readonly EndpointEntry[] {
    const withCapacity = candidates.filter((endpoint) => this._hasCapacity(endpoint, bound))
    const unlimited = this._options.permits.isNeeded ? withCapacity.filter((endpoint) => !this._statesLimit(endpoint)) : withCapacity
    if (unlimited.length > 0) return unlimited
    return withCapacity.length > 0 ? withCapacity : this._preferBelowBound(candidates, bound)
  }

  /** Returns the candidates that are below the load bound, or all of them if none is. */
  private _preferBelowBound (candidates: readonly EndpointEntry[], bound: number): readonly EndpointEntry[] {
    const belowBound = candidates.filter(({ id }) => this._options.loads.total(id) < bound)
    return belowBound.length > 0 ? belowBound : candidates
  }

  private _createChosen (
    endpoint: EndpointEntry, reason: ChoiceReason, primary: EndpointEntry | undefined, source: EndpointEntry | undefined, bound: number
  ): ChosenEndpoint {
    return {
      endpoint,
      contextHolder: source === endpoint ? undefined : source,
      reason,
      isChosenAsPrimary: endpoint === primary,
      load: this._options.loads.total(endpoint.id),
      bound
    }
  }

  /** In a large fleet, primaries are not announced as holders; the primary of a key is assumed to hold its context. */
  private _assumedContextSource (primary: EndpointEntry | undefined, mayRunAt: MayRunAt | undefined): EndpointEntry | undefined {
    if (primary === undefined || mayRunAt?.(primary) === false) return undefined
    const assumesPrimary = this._options.isFleetLarge() && !this._options.health.isUnreachable(primary.id)
    return assumesPrimary ? primary : undefined
  }

  /**
   * Returns whether an endpoint is below the load bound and has a free slot. Slots are compared too, since an endpoint queues
   * requests beyond them even if its load is low compared with the other endpoints.
   */
  private _hasCapacity (endpoint: EndpointEntry, bound: number): boolean {
    return this._options.loads.total(endpoint.id) < Math.min(bound, endpoint.slots)
  }

  /**
   * Returns whether an endpoint takes a request because of its context. All routers choose by the same reports, which are as old as a request takes: if
   * each used an endpoint up to its bound and avoided it from there on, they would do both together, and its load would swing around the bound. So the
   * fuller an endpoint is, the fewer requests it takes. A few routers hear of each other's requests soon enough.
   */
  private _takesForContext (endpoint: EndpointEntry, bound: number): boolean {
    if (!this._hasCapacity(endpoint, bound)) return false
    if (this._options.routerCount() <= ROUTERS_THAT_COMPARE_ALL) return true
    const spareFraction = 1 - this._options.loads.total(endpoint.id) / Math.min(bound, endpoint.slots)
    return this._options.random() * GRADUAL_FRACTION < spareFraction
  }

  /**
   * Returns the least loaded of a random sample of the candidates. All routers choose by the same reports, which are as
   * old as several requests take: if each chose the least loaded endpoint of all, they would overload it together. The
   * more routers there are, the fewer endpoints each one compares, down to two (Mitzenmacher, "How useful is old
   * information?", 2000). Endpoints for which this router holds permits are compared in addition: permits expire, and they
   * keep routers from choosing the same endpoint.
   */
  private _leastLoaded (candidates: readonly EndpointEntry[]): EndpointEntry | undefined {
    const sampleSize = Math.max(MINIMUM_SAMPLE, Math.ceil(candidates.length * ROUTERS_THAT_COMPARE_ALL / this._options.routerCount()))
    let leastLoaded: EndpointEntry | undefined
    let lowestLoad = Infinity
    for (const candidate of this._withPermitted(this._sample(candidates, sampleSize), candidates)) {
      const penalty = candidate.availabilityZone === this._options.availabilityZone ? 0 : OTHER_ZONE_PENALTY_REQUESTS
      const load = (this._options.loads.total(candidate.id) + penalty) / Math.max(1, candidate.slots)
      if (load >= lowestLoad) continue
      leastLoaded = candidate
      lowestLoad = load
    }
    return leastLoaded
  }

  private _withPermitted (sample: readonly EndpointEntry[], candidates: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const { permits } = this._options
    if (!permits.isNeeded) return sample
    return [...sample, ...candidates.filter((endpoint) => permits.isLimited(endpoint))]
  }

  /** Returns a random sample, in random order. */
  private _sample (candidates: readonly EndpointEntry[], size: number): readonly EndpointEntry[] {
    const shuffled = [...candidates]
    const count = Math.min(size, shuffled.length)
    for (let index = 0; index < count; index += 1) {
      const other = index + Math.floor(this._options.random() * (shuffled.length - index))
      const chosen = shuffled[other] as EndpointEntry
      shuffled[other] = shuffled[index] as EndpointEntry
      shuffled[index] = chosen
    }
    return shuffled.slice(0, count)
  }

  /** Returns a holder from which the context can be copied; an endpoint that is draining or has just left can still export it. */
  private _contextSource (holders: readonly string[], mayRunAt: MayRunAt | undefined): EndpointEntry | undefined {
    for (const id of holders) {
      const entry = this._options.endpoints.findContextSource(id)
      if (entry !== undefined && !this._options.health.isUnreachable(id) && mayRunAt?.(entry) !== false) return entry
    }
    return undefined
  }
}
