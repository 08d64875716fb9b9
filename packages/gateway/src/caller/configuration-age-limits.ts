/** How old a router's configuration may be for decisions on requests. */
export interface ConfigurationAgeLimits {
  /** Age of the API keys above which requests that need one are rejected, in milliseconds; 0 for no limit. */
  readonly keysMs: number
  /** Time since a router last knew that there is no newer version from which it refuses no request for good, in milliseconds. */
  readonly refusalMs: number
}
