const PREFIX = 'request:'

/** Translates fingerprints of requests into ids of suspects, which differ from those of all prompt parts: these contain no colon. */
export const requestSuspectId = {
  /**
   * Returns the id of a request as a suspect.
   * @param fingerprint fingerprint of the request
   */
  of (fingerprint: string): string {
    return `${PREFIX}${fingerprint}`
  },

  /**
   * Returns the fingerprint of the request that an id stands for; undefined if it is that of a prompt part.
   * @param id id of a suspect
   */
  fingerprintOf (id: string): string | undefined {
    return id.startsWith(PREFIX) ? id.slice(PREFIX.length) : undefined
  }
} as const
