/** What a server may send in response to one request. */
export interface ResponseLimits {
  /** Maximum length of all heads of a response, informational ones included, and of its trailers, in bytes each. */
  readonly headBytes: number
  /** Maximum number of lines of those heads, and of the trailers. */
  readonly headLines: number
  /** Maximum length of the whole response, in bytes. */
  readonly responseBytes: number
}
