/** How a request for a slot ended, as the metrics count it. */
const SlotResult = {
  /** A slot was granted. */
  GRANTED: 'granted',
  /** The owner refused the request, since it would wait too long. */
  REFUSED: 'refused',
  /** The request uses this router's share, since no owner decided about it in time. */
  FALLBACK: 'fallback',
  /** The caller disconnected. */
  CANCELLED: 'cancelled'
} as const
type SlotResult = typeof SlotResult[keyof typeof SlotResult]

export { SlotResult }
