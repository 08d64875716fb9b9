import type { ConfigurationIndex } from '../configuration-index.js'
import type { ConfigurationSource } from '../configuration-source.js'
import type { StreamReplica } from '../stream-replica.js'
import type { ConfigurationFold } from './configuration-fold.js'

/**
 * The configuration in force at this router: the fold of the configuration's stream, given out from the
 * moment that it was proved not to be older than what the fleet has had, and never taken back.
 */
export class ConfigurationReplica implements ConfigurationSource {
  private readonly _replica: StreamReplica
  private readonly _fold: ConfigurationFold
  private readonly _listeners = new Set<() => void>()
  private _inForce: ConfigurationIndex | undefined
  private _proven = false

  /**
   * @param replica follows the stream `configuration`
   * @param fold the replica's fold
   */
  constructor (replica: StreamReplica, fold: ConfigurationFold) {
    this._replica = replica
    this._fold = fold
    replica.onApplied(() => this._refresh())
    replica.onReplaced(() => this._refresh())
    replica.onProven(() => this.noteProof())
  }

  /** The replica that reads the stream. */
  get replica (): StreamReplica {
    return this._replica
  }

  /** The state behind the configuration: results, history and audit trail. */
  get fold (): ConfigurationFold {
    return this._fold
  }

  /** Whether the configuration was proved current once since the start. */
  get proven (): boolean {
    return this._proven
  }

  /** Time since the configuration was last known to be the newest, in milliseconds; Infinity if never. */
  get stalenessMs (): number {
    return this._replica.stalenessMs
  }

  /** The newest accepted configuration; undefined until proved current and while none was ever accepted. */
  current (): ConfigurationIndex | undefined {
    return this._inForce
  }

  /**
   * Calls back after each change.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Notes that the replica has all that the log, or every peer heard of, has had. */
  noteProof (): void {
    this._proven = true
    this._refresh()
  }

  /** Gives out the fold's revision if it is newer than the one in force. */
  private _refresh (): void {
    const newest = this._fold.index
    if (!this._proven || newest.revision <= (this._inForce?.revision ?? 0)) return
    this._inForce = newest
    for (const listener of this._listeners) listener()
  }
}
