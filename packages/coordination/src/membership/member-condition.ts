/** Reported condition of a router. Within one incarnation, the higher value takes precedence. */
const MemberCondition = {
  LIVE: 0,
  SUSPECT: 1,
  REMOVED: 2
} as const

/** One of the values of `MemberCondition`. */
type MemberCondition = typeof MemberCondition[keyof typeof MemberCondition]

export { MemberCondition }
