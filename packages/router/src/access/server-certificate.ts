/** Certificate and key of a server, as PEM texts. */
export interface ServerCertificate {
  readonly certificate: string
  readonly key: string
  /** Certificates of the authorities that sign clients; without it, clients need none. */
  readonly clientAuthorities?: string
}
