/** Error code of a connection that is closed because a response on it does not end. */
export const RESPONSE_TOO_LONG = 'RESPONSE_TOO_LONG'
