/** When an endpoint crashed on a suspect. */
export interface CrashTimes {
  /** Time of the crash. */
  readonly at: number
  /** Time at which the endpoint began to process the request; undefined for a prompt part, which several requests may have. */
  readonly startedAt: number | undefined
}
