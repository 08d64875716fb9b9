/** What a router knows of the fleet, for operators. */
export interface RouterKnowledge {
  /** Name of the router. */
  readonly router: string
  /** Whether it reads the store for the others. */
  readonly isReader: boolean
  /** Name of the router that it follows; null if it follows none. */
  readonly source: string | null
  /** Era of the store; null if the store has not stated any. */
  readonly storeEra: number | null
  /** Version of the configuration in force; 0 if there is none. */
  readonly configurationVersion: number
  /** Milliseconds since that version was last verified to be the newest; -1 if never. */
  readonly configurationAgeMs: number
  /** Milliseconds since the endpoints were last verified against the store; -1 if never. */
  readonly endpointsAgeMs: number
  /** Names of the evacuated availability zones, in alphabetical order. */
  readonly evacuatedZones: readonly string[]
  /** Number of live routers known to it, itself included. */
  readonly routerCount: number
}
