/** TLS certificate and private key of a server, in PEM format. */
export interface ServerCertificate {
  readonly certificate: string
  readonly key: string
  /** Certificates of the authorities that sign client certificates; if undefined, clients need no certificate. */
  readonly clientAuthorities?: string
}
