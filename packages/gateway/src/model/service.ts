import type { WarmUpRule } from './warm-up-rule.js'

/** A set of interchangeable endpoints. */
export interface Service {
  /** Name, unique in the configuration. */
  readonly name: string
  /** Maximum number of connections that one endpoint accepts from all routers together; undefined if it is not stated. */
  readonly maximumConnections: number | undefined
  /** How much a cold endpoint takes; undefined if endpoints need no warm-up. */
  readonly warmUp?: WarmUpRule | undefined
  /** Valid fields of a warm-up rule in which another field is invalid; only until the version is adopted. */
  readonly incompleteWarmUp?: Partial<WarmUpRule> | undefined
  /** Number of tokens that an engine's memory holds; undefined if it is not stated. */
  readonly contextCapacityTokens?: number | undefined
}
