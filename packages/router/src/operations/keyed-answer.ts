/** A whole answer to a call that may run at most once. */
export interface KeyedAnswer {
  readonly status: number
  /** Headers in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}
