/** What is said of a router; within one incarnation the higher number wins. */
export const MemberCondition = {
  LIVE: 0,
  SUSPECT: 1,
  REMOVED: 2
} as const

/** One of the conditions. */
export type MemberCondition = typeof MemberCondition[keyof typeof MemberCondition]
