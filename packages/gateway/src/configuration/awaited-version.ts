/** A version of the configuration that a router knows to be in the store and whose content it lacks, as it tells it to others. */
export interface AwaitedVersion {
  /** Number of the version; 0 if only that it is newer than the one in force is known. */
  readonly version: number
  /** Milliseconds since a router that had the version, or was reading it, stated it. */
  readonly statedAgoMs: number
  /** Milliseconds for which the router has lacked the version; from the time on at which it learned its number, once it has. */
  readonly elapsedMs: number
  /** Milliseconds since some router has known of a version that the router lacks; undefined from an earlier version of the program. */
  readonly knownMs?: number | undefined
}
