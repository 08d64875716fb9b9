import type { WeightStoreStandIn } from '../weight-store-stand-in.js'

/** An order, as it goes over the wire. */
interface EngineOrder {
  readonly fencing_number: number
  readonly models: readonly string[]
  readonly adapters?: readonly string[]
  readonly role?: string
}

/** What an engine holds, as it goes over the wire. */
interface EngineOrderState {
  readonly fencing_number: number
  readonly models: ReadonlyArray<{ readonly model: string, readonly state: string }>
  readonly adapters: readonly string[]
  readonly role: string
}

/** Carries out orders: absolute lists of models, adapters and a role. */
export class EngineOrders {
  private readonly _checksFencing: boolean
  private readonly _weightStore: WeightStoreStandIn | undefined
  private readonly _initialModels: readonly string[]
  private readonly _models = new Map<string, 'loading' | 'loaded'>()
  private _fencingNumber = 0
  private _adapters: readonly string[] = []
  private _role = 'mixed'
  private _loading = new AbortController()

  /**
   * @param initialModels models that the engine holds at its start
   * @param checksFencing whether an order with an old fencing number is refused
   * @param weightStore where models come from; loading takes no time without one
   */
  constructor (initialModels: readonly string[], checksFencing: boolean, weightStore: WeightStoreStandIn | undefined) {
    this._initialModels = initialModels
    this._checksFencing = checksFencing
    this._weightStore = weightStore
    this.restart()
  }

  /** Highest fencing number seen. */
  get highestFencingNumber (): number {
    return this._fencingNumber
  }

  /** Models that are loaded. */
  get loadedModels (): readonly string[] {
    return [...this._models].filter(([, state]) => state === 'loaded').map(([model]) => model)
  }

  /**
   * Carries out an order.
   * @param order the order
   * @returns whether it was taken
   */
  take (order: EngineOrder): boolean {
    if (this._checksFencing && order.fencing_number < this._fencingNumber) return false
    this._fencingNumber = this._checksFencing ? order.fencing_number : Math.max(order.fencing_number, this._fencingNumber)
    this._adapters = order.adapters ?? []
    this._role = order.role ?? 'mixed'
    const wanted = new Set(order.models)
    for (const model of this._models.keys()) {
      if (!wanted.has(model)) this._models.delete(model)
    }
    for (const model of wanted) {
      if (!this._models.has(model)) this._load(model)
    }
    return true
  }

  /** The state, as `GET /v1/orders` gives it. */
  state (): EngineOrderState {
    return {
      fencing_number: this._fencingNumber,
      models: [...this._models].map(([model, state]) => ({ model, state })),
      adapters: this._adapters,
      role: this._role
    }
  }

  /** Returns to the models of the start; the highest fencing number is kept, as it outlives the process. */
  restart (): void {
    this._loading.abort()
    this._loading = new AbortController()
    this._models.clear()
    for (const model of this._initialModels) this._models.set(model, 'loaded')
    this._adapters = []
    this._role = 'mixed'
  }

  private async _load (model: string): Promise<void> {
    const signal = this._loading.signal
    this._models.set(model, 'loading')
    await this._weightStore?.fetch(model, signal)
    const wanted = this._models.has(model) && !signal.aborted
    if (wanted) this._models.set(model, 'loaded')
  }
}
