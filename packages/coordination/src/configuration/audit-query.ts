/** Which audit entries are wanted; a part that is left out matches everything. */
export interface AuditQuery {
  readonly workspace?: string
  /** Name of the operator or router. */
  readonly actor?: string
  /** Earliest time, in milliseconds since the epoch. */
  readonly fromMs?: number
  /** Latest time, in milliseconds since the epoch. */
  readonly untilMs?: number
  /** Most entries. */
  readonly limit?: number
}
