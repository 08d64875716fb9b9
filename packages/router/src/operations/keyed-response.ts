/** Complete response to a call that may run at most once. */
export interface KeyedResponse {
  readonly status: number
  /** Headers by name in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}
