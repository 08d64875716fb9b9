import type { ModelPlacement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EngineOrder } from './engine-order.js'
import type { PlannedEngine } from './planned-engine.js'

/**
 * Plans the orders that bring a pool's engines to where its models ask them to be. Engines that hold what they
 * should get no order. A model is taken from an engine only while enough others have it loaded, so a plan never
 * takes away what serves callers now.
 * @param models the pool's models with their numbers of engines; 0 means all
 * @param engines the pool's live engines
 * @param loadsAllowed models that may start to load now; those beyond it are left to a later plan
 */
export function planOrders (models: readonly ModelPlacement[], engines: readonly PlannedEngine[], loadsAllowed: number): EngineOrder[] {
  const held = new Map(engines.map((engine) => [engine.endpoint, new Set<string>()]))
  for (const placement of models) keepHolders(placement, engines, held)
  let allowed = loadsAllowed
  for (const placement of models) allowed -= addHolders(placement, engines, held, allowed)
  return engines.flatMap((engine) => orderFor(engine, [...held.get(engine.endpoint) ?? []].sort()))
}

function wantedCount (placement: ModelPlacement, engines: readonly PlannedEngine[]): number {
  return placement.replicas === 0 ? engines.length : Math.min(placement.replicas, engines.length)
}

// Lets the engines that have a model keep it; those beyond the wanted number only until enough have it loaded.
function keepHolders (placement: ModelPlacement, engines: readonly PlannedEngine[], held: Map<string, Set<string>>): void {
  const wanted = wantedCount(placement, engines)
  const loaded = engines.filter((engine) => engine.state.loaded.includes(placement.model))
  const loading = engines.filter((engine) => engine.state.loading.includes(placement.model))
  const keep = loaded.length >= wanted ? fewestModelsFirst(loaded, held).slice(0, wanted) : [...loaded, ...loading]
  for (const engine of keep) held.get(engine.endpoint)?.add(placement.model)
}

// Gives a model to further engines, those with the fewest models first.
function addHolders (placement: ModelPlacement, engines: readonly PlannedEngine[], held: Map<string, Set<string>>, allowed: number): number {
  const holders = engines.filter((engine) => held.get(engine.endpoint)?.has(placement.model))
  const missing = Math.min(wantedCount(placement, engines) - holders.length, allowed)
  if (missing <= 0) return 0
  const others = engines.filter((engine) => engine.reachable && !holders.includes(engine))
  const chosen = fewestModelsFirst(others, held).slice(0, missing)
  for (const engine of chosen) held.get(engine.endpoint)?.add(placement.model)
  return chosen.length
}

// Engines that can't be reached come last, as they may be lost.
function fewestModelsFirst (engines: readonly PlannedEngine[], held: ReadonlyMap<string, ReadonlySet<string>>): PlannedEngine[] {
  const count = (engine: PlannedEngine): number => held.get(engine.endpoint)?.size ?? 0
  const unreachable = (engine: PlannedEngine): number => engine.reachable ? 0 : 1
  return [...engines].sort((left, right) => unreachable(left) - unreachable(right) || count(left) - count(right) || (left.endpoint < right.endpoint ? -1 : 1))
}

function orderFor (engine: PlannedEngine, models: readonly string[]): EngineOrder[] {
  if (!engine.reachable) return []
  const present = [...engine.state.loaded, ...engine.state.loading]
  const loads = models.filter((model) => !present.includes(model))
  const role = engine.role === '' ? engine.state.role : engine.role
  const same = loads.length === 0 && present.length === models.length && role === engine.state.role
  if (same) return []
  return [{ endpoint: engine.endpoint, address: engine.address, models, adapters: engine.state.adapters, role, loads }]
}
