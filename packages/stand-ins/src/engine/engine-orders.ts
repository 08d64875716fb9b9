import type { WeightStoreStandIn } from '../weight-store-stand-in.js'

/** Order for an engine, in wire format. */
interface EngineOrder {
  readonly fencing_number: number
  readonly models: readonly string[]
  readonly adapters?: readonly string[]
  readonly role?: string
}

/** Highest fencing number, models, adapters and role of an engine, in wire format. */
interface EngineOrderState {
  readonly fencing_number: number
  readonly models: ReadonlyArray<{ readonly model: string, readonly state: string }>
  readonly adapters: readonly string[]
  readonly role: string
}

/** Applies orders to an engine. Each order states the complete lists of models and adapters and the role. */
export class EngineOrders {
  private readonly _checksFencing: boolean
  private readonly _weightStore: WeightStoreStandIn | undefined
  private readonly _initialModels: readonly string[]
  private readonly _models = new Map<string, 'loading' | 'loaded'>()
  private _highestFencingNumber = 0
  private _adapters: readonly string[] = []
  private _role = 'mixed'
  private _loadController = new AbortController()

  /**
   * @param initialModels models that are loaded at the start of the engine
   * @param checksFencing whether orders with a fencing number below the highest seen are rejected
   * @param weightStore source of models; without one, loading takes no time
   */
  constructor (initialModels: readonly string[], checksFencing: boolean, weightStore: WeightStoreStandIn | undefined) {
    this._initialModels = initialModels
    this._checksFencing = checksFencing
    this._weightStore = weightStore
    this.restart()
  }

  /** Highest fencing number of any order seen. */
  get highestFencingNumber (): number {
    return this._highestFencingNumber
  }

  /** Names of the models that have been loaded completely. */
  get loadedModels (): readonly string[] {
    return [...this._models].filter(([, state]) => state === 'loaded').map(([model]) => model)
  }

  /**
   * Applies an order: removes the models that it does not list and starts loading the new ones.
   * @param order parsed body of the request
   * @returns whether the order was applied; false if its fencing number is too low
   */
  apply (order: EngineOrder): boolean {
    if (this._checksFencing && order.fencing_number < this._highestFencingNumber) return false
    this._highestFencingNumber = this._checksFencing ? order.fencing_number : Math.max(order.fencing_number, this._highestFencingNumber)
    this._adapters = order.adapters ?? []
    this._role = order.role ?? 'mixed'
    const requestedModels = new Set(order.models)
    for (const model of this._models.keys()) {
      if (!requestedModels.has(model)) this._models.delete(model)
    }
    for (const model of requestedModels) {
      if (!this._models.has(model)) this._load(model)
    }
    return true
  }

  /** Returns the state, as in the response to `GET /v1/orders`. */
  state (): EngineOrderState {
    return {
      fencing_number: this._highestFencingNumber,
      models: [...this._models].map(([model, state]) => ({ model, state })),
      adapters: this._adapters,
      role: this._role
    }
  }

  /** Resets to the initial models. The highest fencing number stays, as an engine persists it across restarts. */
  restart (): void {
    this._loadController.abort()
    this._loadController = new AbortController()
    this._models.clear()
    for (const model of this._initialModels) this._models.set(model, 'loaded')
    this._adapters = []
    this._role = 'mixed'
  }

  private async _load (model: string): Promise<void> {
    const signal = this._loadController.signal
    this._models.set(model, 'loading')
    await this._weightStore?.fetch(model, signal)
    const isStillRequested = this._models.has(model) && !signal.aborted
    if (isStillRequested) this._models.set(model, 'loaded')
  }
}
