/** How to reach a router's operators' services. */
export interface OperatorClientOptions {
  /** Base URL, `http` on loopback, else `https`. */
  readonly url: string
  /** Token of the operator, if the router asks for one. */
  readonly token?: string
  /** Certificates of the authorities that sign the router's, as PEM text; those of the system if left out. */
  readonly authorities?: string
}
