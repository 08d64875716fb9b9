/** How a server ends its connection after a part of a response. */
const ResponseEnding = {
  /** The connection is reset. */
  RESET: 'reset',
  /** It is closed, with bytes of the request that the server has not read: the system resets it. */
  CLOSE: 'close',
  /** The server's direction is ended; what the caller sends is still read. */
  END: 'end'
} as const
type ResponseEnding = typeof ResponseEnding[keyof typeof ResponseEnding]

export { ResponseEnding }
