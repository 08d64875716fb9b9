/** Error code of a connection that the server has reset. It replaces `ECONNRESET`, which the HTTP client takes for the regular end of a response without a length. */
export const RESET_BY_SERVER = 'RESET_BY_SERVER'
