import { CallOutcome } from '../sending/call-outcome.js'

/** How the use of a grant ended: as a call, or without one. */
const SlotOutcome = {
  ...CallOutcome,
  /** The grant was returned without a call. */
  UNUSED: 'unused'
} as const
type SlotOutcome = typeof SlotOutcome[keyof typeof SlotOutcome]

export { SlotOutcome }
