/** Who asks for what, in a request. */
export interface CallerContent {
  /** HTTP method. */
  readonly method: string
  /** Value of the Host header. */
  readonly host: string
  /** Request target: path and query. */
  readonly target: string
  /** Name of the caller's workspace; undefined on public routes. */
  readonly workspace: string | undefined
  /** Whole body. */
  readonly body: Buffer
}
