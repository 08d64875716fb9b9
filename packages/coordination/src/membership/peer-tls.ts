/** Certificates for mutual TLS between routers: both ends of a connection present one. */
export interface PeerTls {
  /** Certificate of this router, in PEM format. */
  readonly certificate: string
  /** Private key of the certificate, in PEM format. */
  readonly key: string
  /** Certificate of the authority that signs the certificates of all routers, in PEM format. */
  readonly authority: string
}
