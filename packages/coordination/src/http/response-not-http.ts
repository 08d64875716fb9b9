/** Error code of a connection that is closed because what arrives on it is not the status line of an HTTP/1 response. */
export const RESPONSE_NOT_HTTP = 'RESPONSE_NOT_HTTP'
