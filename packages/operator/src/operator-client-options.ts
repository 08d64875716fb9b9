/** Options of `createOperatorClient`. */
export interface OperatorClientOptions {
  /** Base URL of the router's operator server; `http` on loopback addresses, else `https`. */
  readonly url: string
  /** Access token of the operator, if the router requires one. */
  readonly token?: string
  /** CA certificates trusted to sign the router's certificate, in PEM format; default: the CA certificates of Node.js. */
  readonly authorities?: string
}
