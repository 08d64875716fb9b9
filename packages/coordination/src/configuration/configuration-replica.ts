import type { ConfigurationIndex } from '../configuration-index.js'
import type { ConfigurationSource } from '../configuration-source.js'
import type { StreamReplica } from '../stream-replica.js'
import type { ConfigurationFold } from './configuration-fold.js'

/**
 * Provides the configuration in force at this router from the fold of the configuration's stream. The configuration
 * is published once it is proved not to be older than any that the fleet has had, and never reverts to an older one.
 */
export class ConfigurationReplica implements ConfigurationSource {
  private readonly _replica: StreamReplica
  private readonly _fold: ConfigurationFold
  private readonly _listeners = new Set<() => void>()
  private _inForce: ConfigurationIndex | undefined
  private _proven = false

  /**
   * @param replica replica of the stream `configuration`
   * @param fold fold of the replica
   */
  constructor (replica: StreamReplica, fold: ConfigurationFold) {
    this._replica = replica
    this._fold = fold
    replica.onApplied(() => this._refresh())
    replica.onReplaced(() => this._refresh())
    replica.onProven(() => this.recordProof())
  }

  /** Replica of the configuration's stream. */
  get replica (): StreamReplica {
    return this._replica
  }

  /** Fold that holds the configuration, change results, revision history and audit trail. */
  get fold (): ConfigurationFold {
    return this._fold
  }

  /** Whether the configuration has been proved current at least once since the router started. */
  get proven (): boolean {
    return this._proven
  }

  /** Time since the configuration was last proved current, in milliseconds; Infinity if it never was. */
  get stalenessMs (): number {
    return this._replica.stalenessMs
  }

  /** Returns the newest accepted configuration, or undefined if none is proved current yet or none was ever accepted. */
  current (): ConfigurationIndex | undefined {
    return this._inForce
  }

  /**
   * Subscribes to changes of the configuration in force.
   * @param listener called after each change
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /** Marks the configuration as proved current, by the end of the log or by a peer, and publishes the newest revision. */
  recordProof (): void {
    this._proven = true
    this._refresh()
  }

  /** Publishes the fold's revision if it is newer than the one in force. */
  private _refresh (): void {
    const newest = this._fold.index
    if (!this._proven || newest.revision <= (this._inForce?.revision ?? 0)) return
    this._inForce = newest
    for (const listener of this._listeners) listener()
  }
}
