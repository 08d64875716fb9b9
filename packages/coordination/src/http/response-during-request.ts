/** Error code of a connection that the server has closed before the request was written to its end. */
export const RESPONSE_DURING_REQUEST = 'RESPONSE_DURING_REQUEST'
