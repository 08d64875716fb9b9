/** Names by which a connection for slot grants is opened: an HTTP/1.1 upgrade. */
export const SlotProtocol = {
  /** Target of the request. */
  PATH: '/slots',
  /** Value of the header `Upgrade`. */
  NAME: 'mimosarock-slots',
  /** Header with the name of the router that opens the connection. */
  ROUTER_HEADER: 'router-name',
  /** Maximum length of a message, which is a line; a request for a slot has some hundred bytes. */
  MAXIMUM_LINE_BYTES: 65_536
} as const
