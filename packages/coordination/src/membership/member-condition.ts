/** What is said of a router; within one incarnation the higher number wins. */
const MemberCondition = {
  LIVE: 0,
  SUSPECT: 1,
  REMOVED: 2
} as const

/** One of the conditions. */
type MemberCondition = typeof MemberCondition[keyof typeof MemberCondition]

export { MemberCondition }
