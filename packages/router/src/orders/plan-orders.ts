import type { ModelPlacement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { EngineOrder } from './engine-order.js'
import type { PlannedEngine } from './planned-engine.js'

/**
 * Plans the orders that load the configured number of replicas of each model on the engines of a pool. An engine that
 * has exactly its planned models and its configured role gets no order. A model is removed from an engine only if enough
 * other engines have it loaded; the plan therefore never removes replicas that are needed to serve callers.
 * @param models models of the pool with their numbers of replicas; 0 means all engines
 * @param engines engines of the pool that do not count as lost
 * @param loadsAllowed maximum number of loads that may start now; further loads are left to a later plan
 * @returns one order for each engine that must change
 */
export function planOrders (models: readonly ModelPlacement[], engines: readonly PlannedEngine[], loadsAllowed: number): EngineOrder[] {
  const planned = new Map(engines.map((engine) => [engine.endpoint, new Set<string>()]))
  for (const placement of models) retainReplicas(placement, engines, planned)
  let allowed = loadsAllowed
  for (const placement of models) allowed -= addReplicas(placement, engines, planned, allowed)
  return engines.flatMap((engine) => orderFor(engine, [...planned.get(engine.endpoint) ?? []].sort()))
}

function wantedCount (placement: ModelPlacement, engines: readonly PlannedEngine[]): number {
  return placement.replicas === 0 ? engines.length : Math.min(placement.replicas, engines.length)
}

// Plans a model on the engines that already have it. Once enough engines have it loaded, surplus engines are left out.
function retainReplicas (placement: ModelPlacement, engines: readonly PlannedEngine[], planned: Map<string, Set<string>>): void {
  const wanted = wantedCount(placement, engines)
  const loaded = engines.filter((engine) => engine.state.loaded.includes(placement.model))
  const loading = engines.filter((engine) => engine.state.loading.includes(placement.model))
  const retained = loaded.length >= wanted ? fewestModelsFirst(loaded, planned).slice(0, wanted) : [...loaded, ...loading]
  for (const engine of retained) planned.get(engine.endpoint)?.add(placement.model)
}

// Plans a model on additional engines, those with the fewest models first. Returns the number of engines added.
function addReplicas (placement: ModelPlacement, engines: readonly PlannedEngine[], planned: Map<string, Set<string>>, allowed: number): number {
  const holders = engines.filter((engine) => planned.get(engine.endpoint)?.has(placement.model))
  const missing = Math.min(wantedCount(placement, engines) - holders.length, allowed)
  if (missing <= 0) return 0
  const candidates = engines.filter((engine) => engine.reachable && !holders.includes(engine))
  const chosen = fewestModelsFirst(candidates, planned).slice(0, missing)
  for (const engine of chosen) planned.get(engine.endpoint)?.add(placement.model)
  return chosen.length
}

// Sorts unreachable engines last, since they may be lost.
function fewestModelsFirst (engines: readonly PlannedEngine[], planned: ReadonlyMap<string, ReadonlySet<string>>): PlannedEngine[] {
  const count = (engine: PlannedEngine): number => planned.get(engine.endpoint)?.size ?? 0
  const unreachable = (engine: PlannedEngine): number => engine.reachable ? 0 : 1
  return [...engines].sort((left, right) => unreachable(left) - unreachable(right) || count(left) - count(right) || (left.endpoint < right.endpoint ? -1 : 1))
}

function orderFor (engine: PlannedEngine, models: readonly string[]): EngineOrder[] {
  if (!engine.reachable) return []
  const present = [...engine.state.loaded, ...engine.state.loading]
  const loads = models.filter((model) => !present.includes(model))
  const role = engine.role === '' ? engine.state.role : engine.role
  const isUnchanged = loads.length === 0 && present.length === models.length && role === engine.state.role
  if (isUnchanged) return []
  return [{ endpoint: engine.endpoint, address: engine.address, models, adapters: engine.state.adapters, role, loads }]
}
