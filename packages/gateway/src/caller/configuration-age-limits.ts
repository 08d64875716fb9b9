/** How old a router's configuration may be for decisions on requests. */
export interface ConfigurationAgeLimits {
  /** Age of the API keys above which requests that need one are rejected, in milliseconds; 0 for no limit. */
  readonly keysMs: number
  /** Time since the store was read from which a router refuses no request for good, as there may be a newer version, in milliseconds. */
  readonly refusalMs: number
  /** Time for which some router has known of a version that this one lacks, from which this one decides nothing by an older one, in milliseconds. */
  readonly lackingMs: number
}
