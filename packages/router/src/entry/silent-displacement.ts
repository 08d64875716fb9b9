import type { DisplacementListener } from './displacement-listener.js'

/** Forgets displaced chats at once. */
export class SilentDisplacement implements DisplacementListener {
  /** Does nothing. */
  displaced (): void {}
}
