/** Evacuated availability zones that the store held in one of its eras. */
export interface EraEvacuations {
  /** Era of the store; undefined if the store states none. */
  readonly era?: number | undefined
  /** Offset in the topic of operator records up to which the records are taken into account. */
  readonly offset: number
  /** Names of the evacuated zones, in alphabetical order. */
  readonly zones: readonly string[]
  /**
   * Whether the store was read after it had settled in this era, so that a zone that is not listed is not evacuated. Until
   * then, the zones of earlier eras remain evacuated.
   */
  readonly isSettled: boolean
}
