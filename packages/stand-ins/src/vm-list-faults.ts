/** Faults of a VM list stand-in. Change the fields at any time; they hold from the next call on. */
export class VmListFaults {
  /** Calls fail. */
  outage = false
  /** Delay before an answer, in milliseconds. */
  delayMs = 0
  /** Age of the list that is given, in milliseconds. */
  lagMs = 0
  /** Age of the list for single askers, in milliseconds; goes before `lagMs`. */
  readonly lagMsByAsker = new Map<string, number>()
  /** Names of VMs that single askers do not see. */
  readonly hiddenFromAsker = new Map<string, ReadonlySet<string>>()
}
