/** Certificates of the connections between routers; both ends show one. */
export interface PeerTls {
  /** This router's certificate, PEM. */
  readonly certificate: string
  /** Its private key, PEM. */
  readonly key: string
  /** Certificate of the authority that signs every router's certificate, PEM. */
  readonly authority: string
}
