/** Names of the messages between routers and slot owners. */
const SlotMethod = {
  /** Request of a router for a slot; its result is the grant. */
  REQUEST: 'slot.request',
  /** Notification of the owner that a request waits. */
  QUEUED: 'slot.queued',
  /** Notification of the router that it no longer wants a slot. */
  CANCEL: 'slot.cancel',
  /** Notification of the router that it returns a grant. */
  RELEASE: 'slot.release'
} as const
type SlotMethod = typeof SlotMethod[keyof typeof SlotMethod]

export { SlotMethod }
