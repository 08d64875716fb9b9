/** Faults of a VM list stand-in. Fields can be changed at any time and apply from the next call on. */
export class VmListFaults {
  /** Whether calls fail. */
  outage = false
  /** Delay before a response, in milliseconds. */
  delayMs = 0
  /** Staleness of the returned list, in milliseconds. */
  lagMs = 0
  /** Staleness of the list for single clients, in milliseconds, by client name; takes precedence over `lagMs`. */
  readonly lagMsByClient = new Map<string, number>()
  /** Names of the VMs that are hidden from single clients, by client name. */
  readonly hiddenFromClient = new Map<string, ReadonlySet<string>>()
}
