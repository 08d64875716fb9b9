import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER = /^Bearer (\S+)$/
const TOKEN_LINE = /^(\S+)\s+(\S{16,})$/

function digestOf (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

/** Tokens of operators or peers, by the names that the audit trail shows. */
export class AccessTokens {
  private readonly _digests: ReadonlyArray<readonly [name: string, digest: Buffer]>

  /**
   * @param tokens tokens by name; only their digests are kept
   */
  constructor (tokens: ReadonlyMap<string, string>) {
    this._digests = [...tokens].map(([name, token]) => [name, digestOf(token)] as const)
  }

  /** Number of tokens; without any, nobody is asked for one. */
  get size (): number {
    return this._digests.length
  }

  /**
   * Reads tokens from a text with a name and a token of at least 16 characters on each line.
   * @param text the text; empty lines and lines that start with `#` are passed over
   * @throws {SyntaxError} names the line, never its content
   */
  static parse (text: string): AccessTokens {
    const tokens = new Map<string, string>()
    text.split('\n').forEach((raw, index) => {
      const line = raw.trim()
      if (line === '' || line.startsWith('#')) return
      const [, name, token] = TOKEN_LINE.exec(line) ?? []
      if (name === undefined || token === undefined) {
        throw new SyntaxError(`line ${index + 1} is not a name and a token of at least 16 characters`)
      }
      tokens.set(name, token)
    })
    return new AccessTokens(tokens)
  }

  /**
   * Finds who gave a token. Each token is compared, in a time that depends on none of their contents.
   * @param authorization value of an `Authorization` header
   * @returns name of the token's owner; undefined if the token is missing or wrong
   */
  ownerOf (authorization: string | undefined): string | undefined {
    const token = BEARER.exec(authorization ?? '')?.[1]
    const given = digestOf(token ?? '')
    let owner: string | undefined
    for (const [name, digest] of this._digests) {
      if (timingSafeEqual(digest, given)) owner = name
    }
    return token === undefined ? undefined : owner
  }
}
