import { createHash, timingSafeEqual } from 'node:crypto'

const BEARER = /^Bearer (\S+)$/
const TOKEN_LINE = /^(\S+)\s+(\S{16,})$/

function digestOf (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

/** Access tokens of operators, each with the name that the audit trail shows for its owner. */
export class AccessTokens {
  private readonly _digests: ReadonlyArray<readonly [name: string, digest: Buffer]>

  /**
   * @param tokens tokens by owner name; only their SHA-256 digests are stored
   */
  constructor (tokens: ReadonlyMap<string, string>) {
    this._digests = [...tokens].map(([name, token]) => [name, digestOf(token)] as const)
  }

  /** Number of tokens. With 0, requests need no token. */
  get size (): number {
    return this._digests.length
  }

  /**
   * Parses a text that has a name and a token of at least 16 characters on each line.
   * @param text the text; empty lines and lines that start with `#` are ignored
   * @throws {SyntaxError} the message contains the line number, never the content of the line
   */
  static parse (text: string): AccessTokens {
    const tokens = new Map<string, string>()
    text.split('\n').forEach((rawLine, index) => {
      const line = rawLine.trim()
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
   * Returns the owner of a bearer token. Compares the token with every stored one in constant time, so that the time
   * taken reveals nothing about their contents.
   * @param authorization value of an `Authorization` header
   * @returns name of the token's owner; undefined if the token is missing or unknown
   */
  ownerOf (authorization: string | undefined): string | undefined {
    const token = BEARER.exec(authorization ?? '')?.[1]
    const presentedDigest = digestOf(token ?? '')
    let owner: string | undefined
    for (const [name, digest] of this._digests) {
      if (timingSafeEqual(digest, presentedDigest)) owner = name
    }
    return token === undefined ? undefined : owner
  }
}
