/** Conditions on audit entries; an omitted condition matches every entry. */
export interface AuditQuery {
  readonly workspace?: string
  /** Name of the operator or router. */
  readonly actor?: string
  /** Earliest time (inclusive), in milliseconds since the epoch. */
  readonly fromMs?: number
  /** Latest time (inclusive), in milliseconds since the epoch. */
  readonly untilMs?: number
  /** Maximum number of entries to return; 100 if omitted. */
  readonly limit?: number
}
